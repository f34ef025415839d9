/**
 * Passes a body on as it comes, at the reader's pace.
 * @module
 */
import type * as http from "node:http";
import type * as stream from "node:stream";

/**
 * Writes `from` to `to`, and resolves at its end without ending `to`. Rejects when either side breaks
 * off; a slow reader holds the sender back. Does what the platform's `pipeline` does, without the
 * signal and errors that one makes for every call.
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
      fail(new Error("the reader went away"));
    };
    const forward = (chunk: Buffer): void => {
      if (!to.write(chunk)) from.pause();
    };
    let ended = false;
    from.once("error", fail);
    from.once("close", () => {
      if (!ended) fail(new Error("the sender broke off"));
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
