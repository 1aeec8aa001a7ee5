import { type IncomingMessage, validateHeaderName, validateHeaderValue } from 'node:http';

/** Lower statuses are informational, which may only precede the final one, or invalid. */
const minFinalStatus = 200;

/** A status has three digits (RFC 9110, section 15). */
const maxStatus = 999;

function isAccepted(validate: () => void): boolean {
  try {
    validate();
    return true;
  } catch {
    return false;
  }
}

/** True when a message with this value in a header can be sent. */
export const isHeaderValue = (value: string): boolean =>
  isAccepted(() => validateHeaderValue('value', value));

/** True for the status of a response that ends its request. */
export const isFinalStatus = (status: number | undefined): boolean =>
  status !== undefined && status >= minFinalStatus && status <= maxStatus;

/**
 * Returns why the head of a response is malformed; undefined when it is not. Old versions of Node's
 * parser let such heads through, while functions that send a message throw for them. Where a name is
 * spoiled the framing can't be trusted either: it may have been that of the length.
 */
export function findHeadFault({
  statusCode,
  rawHeaders,
}: Pick<IncomingMessage, 'statusCode' | 'rawHeaders'>): string | undefined {
  if (!isFinalStatus(statusCode))
    return `response has status ${statusCode}, which is not a final one`;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    if (!isAccepted(() => validateHeaderName(name)))
      return `response has a header with the name ${JSON.stringify(name)}, which is not a token`;
    if (!isHeaderValue(rawHeaders[index + 1] as string))
      return `response has a character in its header ${name} that no header may have`;
  }
  return undefined;
}
