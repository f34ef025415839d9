import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as clock from "../../../src/host/clock.js";
import * as exchange from "../../../src/serving/exchange.js";
import * as upstream from "../../../src/serving/upstream.js";
import * as endless from "../endless.js";
import * as fixtures from "../fixtures.js";

const { expect } = chai;

const MARKS = () => ({ instance: "e", rank: 1, leftMs: 2000 });
/** Milliseconds until the request is given up, as at its deadline. */
const DEADLINE_MS = 2000;
/** Milliseconds until the worker has seen that its connection was closed. */
const CLOSED_MS = 100;
const MAX_BODY_BYTES = 1_000_000;

/** Sends a request and reads the answer; resolves to how that failed, or to the body. */
async function outcomeOf(address: string, pools: upstream.Upstream): Promise<string> {
  const deadline = AbortSignal.timeout(DEADLINE_MS);
  const e = fixtures.endpoint("e", address);
  const sent = await pools.send(fixtures.request(), e, MARKS, deadline);
  if (deadline.aborted) return "deadline";
  if (sent.kind !== "answer") return sent.kind;
  const body = exchange.readAll(sent.body, MAX_BODY_BYTES);
  return body.then(
    (bytes) => bytes.toString(),
    () => (deadline.aborted ? "deadline" : "broke off"),
  );
}

describe("an answer without end", () => {
  for (const [name, answer] of Object.entries(endless.HEADS)) {
    it(`is not read until the deadline, when it repeats ${name}`, async () => {
      const worker = await endless.worker(answer);
      const pools = new upstream.Upstream(fixtures.WIRE, clock.system);
      const outcome = await outcomeOf(worker.address, pools);
      await timers.setTimeout(CLOSED_MS);
      const open = worker.openConnections();
      pools.close();
      worker.close();
      expect(outcome).oneOf(["unknown", "broke off"]);
      expect(open).equal(0);
    });
  }

  it("is not seen in sound answers on one connection, however many and however small their chunks", async () => {
    const body = "abcd".repeat(2000);
    const worker = await fixtures.worker((req, res) => {
      if (req.url === "/empty") {
        res.writeHead(204, { ...fixtures.good(), "x-long": "x".repeat(2000) }).end();
        return;
      }
      res.writeHead(200, fixtures.good());
      for (const c of body) res.write(c);
      res.end();
    });
    const pools = new upstream.Upstream(fixtures.WIRE, clock.system);
    const e = fixtures.endpoint("e", worker.address);
    for (let n = 0; n < 100; n++) {
      const empty = fixtures.request({ path: "/empty" });
      const sent = await pools.send(empty, e, MARKS, AbortSignal.timeout(DEADLINE_MS));
      if (sent.kind !== "answer") throw new Error(sent.kind);
      await upstream.discard(sent.body);
      if (n % 10 > 0) continue;
      expect(await outcomeOf(worker.address, pools)).equal(body);
    }
    pools.close();
    worker.close();
  });
});
