import * as events from "node:events";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as zod from "zod";
import * as stores from "../../platform/store.js";
import * as workers from "../../platform/worker.js";
import * as jsonLines from "../../src/serving/json-lines.js";
import * as endless from "../serving/endless.js";
import * as fixtures from "../serving/fixtures.js";

const { expect } = chai;

/** Milliseconds until a peer has seen that its connection was closed. */
const CLOSED_MS = 100;
/** Bytes that a peer may have sent beyond what was read: those in the buffers of two sockets. */
const BUFFERED_BYTES = 16_777_216;

const ANSWERS = { ...endless.HEADS, ...endless.BODIES };

/** Calls a peer that answers without end; returns what it had sent when the connection was closed. */
async function sentTo(
  answer: endless.Answer,
  call: (address: string) => Promise<unknown>,
): Promise<number> {
  const peer = await endless.worker(answer);
  await call(peer.address).catch(() => undefined);
  await timers.setTimeout(CLOSED_MS);
  const [open, sent] = [peer.openConnections(), peer.sentBytes()];
  peer.close();
  expect(open).equal(0);
  return sent;
}

describe("an answer without end", () => {
  for (const [name, answer] of Object.entries(ANSWERS)) {
    it(`of an engine is not read on, when it repeats ${name}`, async () => {
      const engine = (address: string) => workers.open(address, "host");
      expect(await sentTo(answer, (a) => engine(a).report())).below(BUFFERED_BYTES);
      expect(await sentTo(answer, (a) => engine(a).identify("/healthz"))).below(BUFFERED_BYTES);
    });
  }

  it("of the store is not read until the timeout", async () => {
    const answer = endless.BODIES["the body of a success"] ?? { first: "", then: "" };
    const sent = await sentTo(answer, (a) => new stores.Store(a).list("x/"));
    expect(sent).below(67_108_864 + BUFFERED_BYTES);
  });

  it("of the store is not followed, when it repeats a page", async () => {
    const page = { items: [{ key: "x/1", value: "" }], truncated: true, currentRev: 1 };
    const peer = await fixtures.worker((_req, res) => res.end(JSON.stringify(page)));
    const store = new stores.Store(peer.address);
    const listed = await Promise.race([
      store.list("x/").then(
        () => "listed",
        () => "failed",
      ),
      timers.setTimeout(1000, "goes on"),
    ]);
    store.close();
    peer.close();
    expect(listed).equal("failed");
  });

  it("of a daemon on a link ends at the longest line, at a cost that grows with its length only", () => {
    const socket = Object.assign(new events.EventEmitter(), {
      setNoDelay: () => undefined,
      setKeepAlive: () => undefined,
      setEncoding: () => undefined,
      destroy: () => socket.emit("close"),
    });
    const closed: string[] = [];
    const messages: unknown[] = [];
    jsonLines.openChannel(socket as unknown as net.Socket, zod.unknown(), {
      message: (m) => messages.push(m),
      closed: (why) => closed.push(why),
    });
    for (const c of '{"a":1}\n"b"\n') socket.emit("data", c);
    socket.emit("data", '2\n3\n"');
    for (let n = 0; n < 262_143; n++) socket.emit("data", "x");
    expect([messages, closed]).deep.equal([[{ a: 1 }, "b", 2, 3], []]);
    socket.emit("data", "x");
    expect(closed).deep.equal(["line too long"]);
  }).timeout(2000);
});
