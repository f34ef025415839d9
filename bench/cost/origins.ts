/**
 * What it costs to report the origin of a stream to one of its keepers, and to write it to the store.
 * @module
 */
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as addresses from "../../src/host/address.js";
import * as client from "../../platform/store.js";
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import type * as messages from "../../src/serving/continuation/messages.js";
import * as originKeeper from "../../src/serving/continuation/origin-keeper.js";
import * as streamLog from "../../src/serving/continuation/stream-log.js";
import * as stores from "../platform/store.js";
import * as jsonLines from "../../src/serving/json-lines.js";
import * as seatMessages from "../../src/serving/seat-messages.js";

/** Processor time of both ends and bytes on the wire, for one message. */
export interface Cost {
  readonly us: number;
  readonly bytes: number;
}

const MESSAGES = 15_000;
const ORIGIN = { service: "dispute-llm", software: "v1.1" };
const TTL_MS = 30_000;
const US_PER_MESSAGE = (usage: NodeJS.CpuUsage): number => (usage.user + usage.system) / MESSAGES;

function begun(n: number): messages.Begun {
  const attempt = n.toString(16).padStart(16, "0");
  return { kind: "stream_begun", attempt, origin: ORIGIN, ttlMs: TTL_MS };
}

/** Reports streams one by one. */
export async function reporting(): Promise<Cost> {
  const keeper = new originKeeper.OriginKeeper(clock.system);
  let received = 0;
  const server = net.createServer((socket) => {
    jsonLines.openChannel<seatMessages.FromEntry, seatMessages.FromEndpoint>(
      socket,
      seatMessages.fromEntry,
      {
        message: (m) => {
          if (m.kind === "stream_begun") keeper.record(m);
          received++;
        },
        closed: () => undefined,
      },
    );
  });
  const address = await addresses.listen(server, "127.0.0.1:0");
  const socket = net.connect(addresses.parse(address));
  const channel = jsonLines.openChannel<seatMessages.FromEndpoint, seatMessages.FromEntry>(
    socket,
    seatMessages.fromEndpoint,
    { message: () => undefined, closed: () => undefined },
  );
  const before = process.cpuUsage();
  for (let n = 0; n < MESSAGES; n++) {
    channel.send(begun(n));
    await timers.setImmediate();
  }
  while (received < MESSAGES) await timers.setTimeout(1);
  const us = US_PER_MESSAGE(process.cpuUsage(before));
  channel.close();
  server.close();
  return { us, bytes: jsonLines.encode(begun(1)).length };
}

const BATCHES = 2000;
const LONG_MS = 60_000;

/** Writes streams to the stand-in store in batches of `n`; the cost of one batch, both ends in one process. */
export async function logging(n: number): Promise<number> {
  const store = new stores.Store();
  await store.start();
  const source = new client.Store(store.address);
  const soon = (run: () => void): clock.Timer => {
    const timer = setImmediate(run);
    return {
      cancel: () => {
        clearImmediate(timer);
      },
    };
  };
  // A batch is due whenever the log asks.
  let steadyMs = 0;
  const steady = (): number => (steadyMs += LONG_MS);
  const log = new streamLog.StreamLog({
    clock: { ...clock.system, steady, after: (_ms, run) => soon(run) },
    log: structuredLog.silent,
    store: source,
    writesPerS: 1,
    hostCount: () => 1,
    streamMs: () => TTL_MS,
  });
  const before = process.cpuUsage();
  for (let batch = 0; batch < BATCHES; batch++) {
    for (let i = 0; i < n; i++) log.add(`${batch}.${i}`, ORIGIN, false);
    while (log.waitingCount > 0) await timers.setImmediate();
  }
  const { user, system } = process.cpuUsage(before);
  log.close();
  source.close();
  store.stop();
  return (user + system) / BATCHES;
}
