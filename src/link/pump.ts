/**
 * Forwards a body as it arrives, with backpressure.
 * @module
 */
import type * as http from "node:http";
import type * as stream from "node:stream";

/**
 * Writes `from` to `to`, and resolves at the end of `from` without ending `to`. Rejects when either side
 * closes early; pauses `from` while `to` cannot accept more. Does what Node's `pipeline` does, without the
 * abort signal and the errors that `pipeline` creates on every call.
 */
export function pump(from: stream.Readable, to: http.ServerResponse): Promise<void> {
  return new Promise((resolve, reject) => {
    const stop = (): void => {
      to.off("drain", resume);
      to.off("close", readerClosed);
      from.off("data", forward);
    };
    const fail = (err: Error): void => {
      stop();
      reject(err);
    };
    const resume = (): void => {
      from.resume();
    };
    const readerClosed = (): void => {
      from.destroy();
      fail(new Error("the reader closed the connection"));
    };
    const forward = (chunk: Buffer): void => {
      if (!to.write(chunk)) from.pause();
    };
    let ended = false;
    from.once("error", fail);
    from.once("close", () => {
      if (!ended) fail(new Error("the sender closed the connection before the end of the body"));
    });
    from.once("end", () => {
      ended = true;
      stop();
      resolve();
    });
    to.on("drain", resume);
    to.on("close", readerClosed);
    if (to.destroyed) readerClosed();
    else from.on("data", forward);
  });
}
