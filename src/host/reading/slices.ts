/**
 * Where the bytes that a connection has brought are cut before they are parsed. Pure.
 *
 * A read may bring thousands of requests, or of chunks of a byte, and Node.js parses all that it is given in one go. A slice holds one
 * head at most, so that other connections are served between two requests of this one.
 * @module
 */

/** Bytes of a slice, unless it lies within a body of known length; the heads of most requests fit. */
export const SLICE_BYTES = 4096;
/** The same for a connection that has used much time. */
export const SMALL_SLICE_BYTES = 1024;
const HEAD_END = "\r\n\r\n";
const [CR, LF] = Buffer.from("\r\n");

/** Whether bytes are empty lines, which may precede a request. */
export function isBlank(bytes: Buffer): boolean {
  return bytes.every((byte) => byte === CR || byte === LF);
}

/**
 * Bytes to be parsed next of those that have arrived: `mostBytes`, or to the end of a head before that. `bodyBytes` of them, at
 * least, are of a body of known length.
 */
export function sliceBytes(arrived: Buffer, bodyBytes: number, mostBytes: number): number {
  if (bodyBytes >= mostBytes) return Math.min(arrived.length, bodyBytes);
  const window = arrived.subarray(0, mostBytes);
  // Empty lines before a request are not the end of a head.
  const from = window.findIndex((byte) => byte !== CR && byte !== LF);
  const end = from < 0 ? -1 : window.indexOf(HEAD_END, from, "latin1");
  return end < 0 ? window.length : end + HEAD_END.length;
}

/** Whether a slice within a head has the end of a field. One without takes little memory once it has been parsed. */
export function hasFields(slice: Buffer): boolean {
  return slice.includes("\n") && !isBlank(slice);
}
