import { errMessage, ListenError } from './errors.js';

/** IP address and port of a listener or a peer. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Parses `ip:port`; returns undefined for anything else. */
export function parseHostPort(text: string): HostPort | undefined {
  const match = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/.exec(text.trim());
  if (!match) return undefined;
  const host = (match[1] as string).replace(/^\[|\]$/g, '');
  const port = Number(match[2]);
  if (port > 65_535) return undefined;
  if (!host.includes(':') && host.split('.').some((part) => Number(part) > 255)) return undefined;
  return { host, port };
}

/** Formats an address as {@link parseHostPort} reads it. */
export function formatHostPort({ host, port }: HostPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Creates the error of a listener that could not be started. */
export function toListenError(address: HostPort, err: unknown): Error {
  return new ListenError(
    `can't listen on ${formatHostPort(address)}: ${errMessage(err)}; ` +
      'free the address or set another one in [listen]',
    { cause: err },
  );
}
