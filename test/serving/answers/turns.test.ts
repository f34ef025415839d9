import * as chai from "chai";
import * as upstream from "../../../src/serving/upstream.js";
import * as endless from "../endless.js";
import * as endlessThread from "../endless-thread.js";
import * as fixtures from "../fixtures.js";

const { expect } = chai;

/** Most bytes that one answer may take of a turn: one read of a socket, and what was left of the one before. */
const MOST_BYTES = 131_072;
const TOTAL_BYTES = 20_000_000;
/** Milliseconds that a chunk takes, so that more waits in the socket than is read at once. */
const CHUNK_MS = 2;

describe("a fast answer", () => {
  for (const name of ["the body of a success", "chunks of one byte"]) {
    it(`lets others have their turn, when it is ${name} without end`, async () => {
      const worker = await endlessThread.start(endless.BODIES[name] ?? { first: "", then: "" });
      const pools = new upstream.Upstream(fixtures.WIRE);
      const e = fixtures.endpoint("e", worker.address);
      const marks = { instance: "e", rank: 1, leftMs: 2000 };
      const sent = await pools.send(fixtures.request(), e, marks, AbortSignal.timeout(3000));
      if (sent.kind !== "answer") throw new Error(sent.kind);
      const turns: { bytes: number; chunks: number }[] = [];
      let turn: { bytes: number; chunks: number } | undefined;
      let total = 0;
      await sent.body
        .pump((chunk) => {
          if (!turn) {
            turns.push((turn = { bytes: 0, chunks: 0 }));
            setImmediate(() => (turn = undefined));
          }
          turn.bytes += chunk.length;
          turn.chunks++;
          total += chunk.length;
          if (total > TOTAL_BYTES || turns.length > 200) sent.body.abort();
          if (chunk.length > 1)
            for (const at = performance.now(); performance.now() < at + CHUNK_MS;);
          return undefined;
        })
        .catch(() => undefined);
      pools.close();
      await worker.close();
      expect(turns.length).above(100);
      expect(Math.max(...turns.map((t) => t.bytes))).most(MOST_BYTES);
      expect(Math.max(...turns.map((t) => t.chunks))).most(1000);
    }).timeout(10_000);
  }
});
