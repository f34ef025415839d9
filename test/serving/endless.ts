/**
 * Workers whose answers never end, as raw bytes.
 * @module
 */
import type * as net from "node:net";
import * as fixtures from "./fixtures.js";

/** Bytes written at once; large, so that the writer costs little beside the reader. */
const BLOCK_BYTES = 65_536;

const HEAD = "HTTP/1.1 200 OK\r\ntest-id: r1\r\ntest-signed: 1\r\n";
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const EVENTS = `${HEAD}content-type: text/event-stream\r\nconnection: close\r\n\r\n`;

/** What is sent once, and what is then repeated without end. */
export interface Answer {
  readonly first: string;
  readonly then: string;
}

/** Answers whose head, or whose framing, never ends. */
export const HEADS: Readonly<Record<string, Answer>> = {
  "a reason phrase": { first: "HTTP/1.1 200 O", then: "K" },
  "the size of a chunk": { first: CHUNKED, then: "0" },
  "the extension of a chunk": { first: `${CHUNKED}3;x=`, then: "y" },
  "extensions of small chunks": { first: CHUNKED, then: `1;${"x".repeat(900)}\r\na\r\n` },
  "informational answers": { first: "", then: "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" },
};

/** Streams of events that never end. */
export const STREAMS: Readonly<Record<string, Answer>> = {
  "one event": { first: `${EVENTS}id: 1\ndata: `, then: "x" },
  "one event of many lines": { first: `${EVENTS}id: 1\r\n`, then: "data: x\r\n" },
  "small events": { first: EVENTS, then: "id: 1\ndata: x\n\n" },
  "small events of CRLF lines": { first: EVENTS, then: "id: 1\r\ndata: x\r\n\r\n" },
  comments: { first: EVENTS, then: ":\n\n" },
  "blank lines": { first: EVENTS, then: "\n" },
  "chunks of one byte": { first: CHUNKED, then: "1\r\nx\r\n" },
};

const NOT_RUN = "HTTP/1.1 503 Full\r\ntest-id: r1\r\ntest-not-run: 1\r\nconnection: close\r\n\r\n";
const FAILED = "HTTP/1.1 500 Failed\r\ntest-id: r1\r\nconnection: close\r\n\r\n";

/** Answers to calls whose body never ends. */
export const BODIES: Readonly<Record<string, Answer>> = {
  "the body of a success": { first: EVENTS, then: "x" },
  "chunks of one byte": { first: CHUNKED, then: "1\r\nx\r\n" },
  "the body of a refusal": { first: NOT_RUN, then: "x" },
  "the body of a failure": { first: FAILED, then: "x" },
};

/** Starts a worker that answers without end until its connection is closed; counts the connections that are open. */
export async function worker({ first, then }: Answer) {
  const open = new Set<net.Socket>();
  let sentBytes = 0;
  const block = Buffer.from(then.repeat(Math.ceil(BLOCK_BYTES / then.length)));
  const { address, close } = await fixtures.rawWorker((socket) => {
    open.add(socket);
    socket.once("close", () => {
      sentBytes += socket.bytesWritten;
      open.delete(socket);
    });
    const flood = (): void => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on("drain", flood);
    socket.write(first);
    flood();
  });
  return {
    address,
    openConnections: (): number => open.size,
    /** Bytes sent on connections that are closed. */
    sentBytes: (): number => sentBytes,
    close: (): void => {
      close();
      for (const socket of open) socket.destroy();
    },
  };
}
