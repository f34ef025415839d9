import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as fc from "fast-check";
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as byteQueue from "../../src/serving/buffering/byte-queue.js";
import * as hold from "../../src/serving/buffering/hold.js";
import * as memory from "../../src/serving/buffering/memory.js";
import * as memoryBudget from "../../src/serving/buffering/memory-budget.js";

const { expect } = chai;

const BUDGET = 4_194_304;
const CHUNK = 65_536;
const HOLDERS = 40;
const NOW = 100_000;
/** What a holder may add after the decision to pause it: up to its limit, and the chunk that crosses it. */
const OVERHEAD = memoryBudget.FLOOR_BYTES + CHUNK;

const sumOf = (holders: readonly memoryBudget.Holder[]): number =>
  holders.reduce((sum, h) => sum + h.bytes, 0);

const holderArb = fc
  .record({
    bytes: fc.integer({ min: 0, max: BUDGET / 8 }),
    rank: fc.integer({ min: 0, max: 9 }),
    stage: fc.constantFrom<memoryBudget.Stage>("receiving", "waiting", "fetching", "answering"),
    pausedAt: fc.option(fc.constantFrom(NOW - 100, NOW - 5000), { nil: undefined }),
    progressAt: fc.constantFrom(NOW, NOW - 1000, NOW - 2000, NOW - 9000),
  })
  .map((h) => ({ ...h, readBytes: h.stage === "receiving" ? 0 : h.bytes }));

describe("the memory budget", () => {
  // Guards against a sum that grows without bound while each holder alone is within its limit.
  it("is exceeded by one chunk for each open request at most, whatever arrives and leaves", () => {
    const step = fc.record({
      who: fc.nat(HOLDERS - 1),
      bytes: fc.integer({ min: -CHUNK, max: CHUNK }),
      isBody: fc.boolean(),
    });
    const check = (steps: readonly { who: number; bytes: number; isBody: boolean }[]): void => {
      const holders = Array.from({ length: HOLDERS }, (_, i): memoryBudget.Holder => {
        const progressAt = i % 2 === 0 ? NOW : 0;
        return {
          bytes: 0,
          readBytes: 0,
          rank: i % 10,
          stage: "answering",
          pausedAt: undefined,
          progressAt,
        };
      });
      for (const { who, bytes, isBody } of steps) {
        const h = holders[who];
        if (!h) continue;
        const sum = sumOf(holders);
        const isBlocked = isBody
          ? !memoryBudget.mayRead(bytes * 8, sum, BUDGET)
          : bytes > 0 && memoryBudget.mustPause(h, sum, BUDGET, NOW);
        if (isBlocked) continue;
        const added = isBody ? Math.max(0, bytes * 8) : Math.max(bytes, -h.readBytes);
        const readBytes = h.readBytes + (isBody ? 0 : added);
        holders[who] = { ...h, bytes: h.bytes + added, readBytes };
        expect(sumOf(holders)).most(BUDGET + HOLDERS * OVERHEAD);
      }
    };
    fc.assert(fc.property(fc.array(step, { minLength: 300, maxLength: 800 }), check), {
      numRuns: 40,
    });
    // One caller after the other stops reading, and each is sent more than all may hold.
    check(
      Array.from({ length: 8000 }, (_, i) => ({ who: i % HOLDERS, bytes: CHUNK, isBody: false })),
    );
  });

  // Guards against a small urgent request that is held back while a larger, slower, less urgent one goes on.
  it("pauses the largest first, and of two alike the slower and the less urgent", () => {
    const sum = fc.integer({ min: 0, max: BUDGET });
    fc.assert(
      fc.property(holderArb, holderArb, sum, (a, b, held) => {
        const isWorse =
          a.stage === b.stage &&
          a.readBytes >= b.readBytes &&
          a.rank >= b.rank &&
          a.progressAt <= b.progressAt;
        if (isWorse && memoryBudget.mustPause(b, held, BUDGET, NOW))
          expect(memoryBudget.mustPause(a, held, BUDGET, NOW)).equal(true);
      }),
      { numRuns: 2000 },
    );
  });

  it("ends the least urgent first, then the largest, none that makes progress, and no more than needed", () => {
    const stalled = (h: memoryBudget.Holder): boolean =>
      h.stage === "answering" && NOW - h.progressAt >= memoryBudget.PATIENCE_MS;
    fc.assert(
      fc.property(fc.array(holderArb, { minLength: 25, maxLength: 40 }), (all) => {
        const holders = all.map((h) => ({ ...h, pausedAt: undefined }));
        const ended = memoryBudget.toEnd(holders, BUDGET, memoryBudget.PATIENCE_MS, NOW);
        const left = holders.filter((h) => !ended.includes(h));
        for (const e of ended) {
          expect(NOW - e.progressAt).least(memoryBudget.PATIENCE_MS);
          for (const h of left.filter(stalled))
            expect(h.rank > e.rank && h.bytes > 4096).equal(false);
        }
        if (left.some((h) => stalled(h) && h.bytes > 0))
          expect(memoryBudget.isUsedUp(sumOf(left), BUDGET)).equal(false);
        const last = ended.at(-1);
        if (last) expect(memoryBudget.isUsedUp(sumOf(left) + last.bytes, BUDGET)).equal(true);
        expect(memoryBudget.toEnd(holders, BUDGET, 0, NOW)).deep.equal([]);
      }),
    );
  });

  // Guards against answers of callers that read well being held up by the accounting.
  it("decides nothing while a quarter of it is held", () => {
    fc.assert(
      fc.property(holderArb, fc.integer({ min: 0, max: BUDGET / 4 }), (h, sum) => {
        const small = { ...h, readBytes: h.readBytes / 8, bytes: h.bytes / 8 };
        expect(memoryBudget.mustPause(small, sum, BUDGET, NOW)).equal(false);
        expect(memoryBudget.mayRead(BUDGET / 4, sum, BUDGET)).equal(true);
        const running = { ...small, pausedAt: undefined };
        expect(memoryBudget.toEnd([running], BUDGET, 9000, NOW)).deep.equal([]);
      }),
    );
  });
});

describe("a queue of bytes", () => {
  it("gives all bytes back in order, and takes little more memory than their number", () => {
    const chunk = fc.tuple(fc.integer({ min: 1, max: 40_000 }), fc.boolean());
    fc.assert(
      fc.property(fc.array(chunk, { maxLength: 40 }), (chunks) => {
        const queue = new byteQueue.ByteQueue();
        const sent: Buffer[] = [];
        const got: Buffer[] = [];
        for (const [i, [bytes, takes]] of chunks.entries()) {
          const b = Buffer.alloc(bytes, i + 1);
          sent.push(b);
          queue.push(b);
          expect(queue.heldBytes - queue.length).within(0, 16_384);
          const first = takes ? queue.shift() : undefined;
          if (first) got.push(first);
        }
        got.push(queue.takeAll());
        expect(Buffer.concat(got).equals(Buffer.concat(sent))).equal(true);
        expect(queue.heldBytes).equal(0);
      }),
    );
  });
});

describe("a caller", () => {
  const recorded: string[] = [];
  const buffered = new memory.Memory(BUDGET, {
    clock: clock.system,
    log: structuredLog.silent,
    metrics: { recordMemory: (outcome, reason) => recorded.push(`${outcome} ${reason}`) },
  });
  const body = Buffer.from("0123456789abcdef".repeat(1_000_000));
  const server = http.createServer((req, res) => {
    const held = new hold.Hold(buffered, req, res);
    void (async () => {
      for (let at = 0; at < body.length && !held.wasReset; at += CHUNK)
        await held.write(body.subarray(at, at + CHUNK));
      held.end();
    })();
  });
  before((done) => {
    server.listen(0, "127.0.0.1", done);
  });
  after(() => {
    buffered.close();
    server.close();
    server.closeAllConnections();
  });

  /** Gets the stream, and reads it after `waitMs`. */
  function get(waitMs: number): Promise<{ readonly whole: boolean; readonly text: Buffer }> {
    const { port } = server.address() as net.AddressInfo;
    return new Promise((resolve, reject) => {
      const req = http.get({ port, agent: false }, (res) => {
        const chunks: Buffer[] = [];
        const end = (): void => {
          resolve({ whole: res.complete, text: Buffer.concat(chunks) });
        };
        res.on("end", end).on("error", end);
        setTimeout(() => res.on("data", (chunk: Buffer) => chunks.push(chunk)), waitMs);
      });
      req.on("error", reject);
    });
  }

  it("that reads late, but within 2 s, gets the whole stream", async () => {
    const { whole, text } = await get(1000);
    expect(whole && text.equals(body)).equal(true);
    expect(recorded).deep.equal([]);
  });

  // Guards against a broken stream that its caller takes for a whole one, and a worker that stays unread.
  it("that stops reading for longer has its connection reset, and what it held is free", async () => {
    const { whole, text } = await get(2600);
    expect(whole).equal(false);
    expect(text.equals(body.subarray(0, text.length))).equal(true);
    expect(recorded).deep.equal(["ended unread_answer"]);
    expect(buffered.heldBytes).equal(0);
  });
});
