import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as callersSite from "./callers-site.js";

const { expect } = chai;

/** Milliseconds that the worker works on slow requests, and that a fast one takes at most. */
const SLOW_MS = 150;
const FAST_MS = 60;

const bytesOf = (paths: readonly string[]): string =>
  paths
    .map(
      (path) =>
        `GET ${path} HTTP/1.1\r\nhost: a.example\r\nx-sumacfield-attempt-id: ${path}\r\n\r\n`,
    )
    .join("");

/** A host, and a raw caller that has sent requests for these paths. */
async function open(...paths: readonly string[]) {
  const host = await callersSite.site(undefined, (path) => (path.includes("slow") ? SLOW_MS : 0));
  const caller = net.connect({ port: host.port, host: "127.0.0.1", allowHalfOpen: true });
  let received = "";
  let endedAt = Infinity;
  caller.on("data", (part: Buffer) => (received += part.toString("latin1")));
  caller.on("end", () => (endedAt = performance.now()));
  caller.on("error", () => undefined);
  caller.write(bytesOf(paths));
  await timers.setTimeout(FAST_MS);
  return {
    host,
    caller,
    send: (...more: readonly string[]): boolean => caller.write(bytesOf(more)),
    /** Each response's request, and whether it announced the close. */
    answers: () =>
      received
        .split("HTTP/1.1 200 OK")
        .slice(1)
        .map((text) => [/attempt-id: (\S+)/i.exec(text)?.[1], /connection: close/i.test(text)]),
    isEnded: (): boolean => endedAt < Infinity,
    stop: async (): Promise<void> => {
      caller.destroy();
      await host.stop();
    },
  };
}

describe("pipelined requests at a host that stops", () => {
  // Guards against requests that are read and not served although nothing announced the close to their caller yet.
  it("are served while an earlier response is under way, behind which the last one waits", async () => {
    const { host, send, answers, isEnded, stop } = await open("/open/slow", "/open/2");
    host.startDraining();
    send("/open/3");
    await timers.setTimeout(FAST_MS);
    send("/open/4");
    await timers.setTimeout(SLOW_MS);
    expect(answers()).deep.equal([
      ["/open/slow", false],
      ["/open/2", false],
      ["/open/3", false],
      ["/open/4", true],
    ]);
    expect(isEnded()).equal(true);
    await stop();
  });

  // Guards against responses behind the first one that are never known to have lost their caller.
  it("are given up when their caller leaves", async () => {
    const { host, caller, stop } = await open("/open/slow", "/open/slow/2", "/open/slow/3");
    expect(host.inFlight()).equal(3);
    caller.resetAndDestroy();
    await timers.setTimeout(FAST_MS);
    expect(host.inFlight()).equal(0);
    await stop();
  });
});
