import { type Socket } from 'node:net';

const statusTexts = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
} as const;

const parseErrors: Readonly<Record<string, keyof typeof statusTexts>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Responds to a head that is not accepted. */
export const rejectHead = (socket: Socket, status: keyof typeof statusTexts): Socket =>
  socket.end(
    `HTTP/1.1 ${status} ${statusTexts[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );

/** Responds to bytes that Node's HTTP parser did not accept, and ends the connection. */
export function onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  rejectHead(socket, parseErrors[err.code ?? ''] ?? 400);
}
