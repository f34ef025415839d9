/**
 * A caller that speaks HTTP over a bare socket, so that the framing of an answer and the end of its connection show, in
 * HTTP/1.0 too.
 * @module
 */
import * as net from "node:net";

export type Version = "1.0" | "1.1";

/** A request as its caller sends it, on a connection of its own. */
export interface Request {
  readonly version: Version;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Bytes sent once the answer has begun. */
  readonly afterwards?: string;
}

/** What the caller received. The body is decoded if it came in chunks. */
export interface Received {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly end: "complete" | "cut";
  /** Whether a connection was established. */
  readonly isConnected: boolean;
}

const CHUNK = /([0-9a-f]+)\r\n/gy;

/** Sends a request to `address`; resolves when its connection has ended, also if nothing was received. */
export function send(address: string, r: Request, signal?: AbortSignal): Promise<Received> {
  const at = address.lastIndexOf(":");
  const socket = net.connect({
    port: Number(address.slice(at + 1)),
    host: address.slice(0, at),
    allowHalfOpen: true,
  });
  const headers = { ...r.headers, connection: "close", "content-length": String(r.body.length) };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  socket.write(`POST ${r.path} HTTP/${r.version}\r\n${lines.join("\r\n")}\r\n\r\n${r.body}`);
  return new Promise((resolve) => {
    let text = "";
    let isConnected = false;
    socket.once("connect", () => {
      isConnected = true;
    });
    const finish = (wasReset: boolean): void => {
      socket.destroy();
      resolve({ ...parse(text, wasReset), isConnected });
    };
    signal?.addEventListener("abort", () => {
      finish(true);
    });
    socket.on("data", (part) => {
      if (text === "" && r.afterwards) socket.write(r.afterwards);
      text += part.toString("latin1");
    });
    // Node.js takes a reset that arrives together with the last bytes for an end; a write shows it.
    socket.once("end", () => {
      socket.write("\r\n", (err) => {
        finish(Boolean(err));
      });
    });
    socket.once("error", () => {
      finish(true);
    });
  });
}

function parse(text: string, wasReset: boolean): Omit<Received, "isConnected"> {
  const split = text.indexOf("\r\n\r\n");
  const [statusLine = "", ...lines] = (split < 0 ? "" : text.slice(0, split)).split("\r\n");
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const colon = line.indexOf(":");
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const status = Number(statusLine.split(" ")[1] ?? 0);
  const rest = split < 0 ? "" : text.slice(split + 4);
  const cutIf = (isCut: boolean): Received["end"] => (isCut || status === 0 ? "cut" : "complete");
  if (headers["transfer-encoding"] === "chunked") {
    const { body, isEnded } = decodeChunks(rest);
    return { status, headers, body, end: cutIf(!isEnded) };
  }
  const length = headers["content-length"];
  const isCut = length === undefined ? wasReset : rest.length < Number(length);
  return { status, headers, body: rest, end: cutIf(isCut) };
}

function decodeChunks(text: string): { readonly body: string; readonly isEnded: boolean } {
  let body = "";
  for (let at = 0; ;) {
    CHUNK.lastIndex = at;
    const size = CHUNK.exec(text)?.[1];
    if (size === undefined) return { body, isEnded: false };
    const length = parseInt(size, 16);
    if (length === 0) return { body, isEnded: true };
    const start = CHUNK.lastIndex;
    body += text.slice(start, start + length);
    at = start + length + 2;
  }
}
