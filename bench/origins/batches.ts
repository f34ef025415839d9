/**
 * Ways to write the origins of open streams to the store in batches: which part of the streams that are open when all daemons end is
 * written by then, and what it costs. One host in virtual time, since hosts don't wait for each other.
 * @module
 */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as logPace from "../../src/serving/continuation/log-pace.js";
import type * as tokenBucket from "../../src/store/token-bucket.js";
import type * as disturbances from "./disturbances.js";

/** Milliseconds from a batch's writing to the store's having it. */
const STORE_MS = 5;
/** Milliseconds that are played, and those of them after which streams and batches are counted. */
const PLAYED_MS = 60_000;
const COUNTED_FROM_MS = 20_000;
/** Milliseconds between two moments at which all daemons may end. */
const KILL_EVERY_MS = 37;
/** Least and most milliseconds from one batch to the next of `ticks` and `delayed`. */
const MIN_INTERVAL_MS = 250;
const MAX_INTERVAL_MS = 10_000;

/** A way to write streams. */
export interface Way {
  /**
   * `ticks`: at fixed times; `delayed`: an interval after the first stream that waits; `prompt`: at once if the last batch is an
   * interval ago; `saved`: as the log does it.
   */
  readonly pace: "ticks" | "delayed" | "prompt" | "saved";
  /** Part of the store's write rate for all hosts together. */
  readonly share: number;
  /** Whether streams are written from their first event on, or from when they are sent to a worker. */
  readonly from: "event" | "send";
  /** Which daemons write. */
  readonly by: "entry" | "endpoint";
}

/** Streams as they come to one host. */
export interface Load {
  /** Daemons that write. */
  readonly hosts: number;
  /** Streams that begin each second at one of them, and the kinds of their lengths. */
  readonly perS: number;
  readonly kinds: disturbances.Site["kinds"];
  readonly writesPerS: number;
  /** Milliseconds from the sending of a request to its first event. */
  readonly firstEventMs: number;
}

export function loadOf(s: disturbances.Site, way: Way, firstEventMs: number): Load {
  const hosts = way.by === "entry" ? s.entries : s.endpoints;
  return { ...s, hosts, perS: s.perS / hosts, firstEventMs };
}

interface Stream {
  readonly sentAt: number;
  readonly beganAt: number;
  readonly endsAt: number;
  writtenAt: number;
}

function streamsOf(l: Load, seed: number): readonly Stream[] {
  const rng = generators.xoroshiro128plus(seed);
  const random = (): number => uniform.uniformFloat64(rng);
  const exponential = (mean: number): number => -Math.log(1 - random()) * mean;
  const streams: Stream[] = [];
  for (let t = 0; (t += exponential(1000 / l.perS)) < PLAYED_MS;) {
    let pick = random();
    const kind = l.kinds.find((k) => (pick -= k.part) < 0);
    const beganAt = t + l.firstEventMs;
    const endsAt = beganAt + exponential(kind?.meanMs ?? 0);
    streams.push({ sentAt: t, beganAt, endsAt, writtenAt: Infinity });
  }
  return streams;
}

/** When a host writes; `take` says that it does. */
interface Pacer {
  /** The time of the batch for a stream that waits from `now` on, where the last one was at `last`. */
  readonly next: (now: number, last: number) => number;
  readonly take: (at: number) => void;
}

function pacerOf(way: Way, l: Load): Pacer {
  const shared = (way.share * l.writesPerS) / l.hosts;
  const intervalMs = Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, 1000 / shared));
  const take = (): void => undefined;
  switch (way.pace) {
    case "ticks":
      return { next: (now) => Math.ceil(now / intervalMs) * intervalMs, take };
    case "delayed":
      return { next: (now) => now + intervalMs, take };
    case "prompt":
      return { next: (now, last) => Math.max(now, last + 1000 / shared), take };
    case "saved": {
      const rate = logPace.batchesPerS(l.hosts, l.writesPerS, way.share);
      let left: tokenBucket.Bucket | undefined;
      return {
        next: (now) => {
          const taken = logPace.take(left, rate, now);
          return taken.ok ? now : now + taken.waitMs;
        },
        take: (at) => {
          const taken = logPace.take(left, rate, at);
          if (taken.ok) left = taken.bucket;
        },
      };
    }
  }
}

export interface Outcome {
  /** Part of the streams with an event that are written when all daemons end. */
  readonly known: number;
  /** Milliseconds from the first event of a stream to its being written, of those that are; 0 if it is written before. */
  readonly meanMs: number;
  /** Batches and written keys a second of all hosts together. */
  readonly batches: number;
  readonly keys: number;
}

export function play(l: Load, way: Way, seed: number): Outcome {
  const streams = streamsOf(l, seed);
  const waitsFrom = (s: Stream): number => (way.from === "send" ? s.sentAt : s.beganAt);
  const pacer = pacerOf(way, l);
  let [batches, keys, delays] = [0, 0, 0];
  let last = -Infinity;
  for (let n = 0; n < streams.length;) {
    const first = streams[n];
    if (!first) break;
    // A host writes one batch after the other.
    const at = pacer.next(Math.max(waitsFrom(first), last + STORE_MS), last);
    const batch: Stream[] = [];
    for (let s = first; waitsFrom(s) <= at;) {
      if (s.endsAt > at) batch.push(s);
      const following = streams[++n];
      if (!following) break;
      s = following;
    }
    if (batch.length === 0) continue;
    last = at;
    pacer.take(at);
    for (const s of batch) s.writtenAt = at + STORE_MS;
    if (at < COUNTED_FROM_MS || at >= PLAYED_MS) continue;
    batches++;
    keys += batch.length;
    delays += batch.reduce((sum, s) => sum + Math.max(0, s.writtenAt - s.beganAt), 0);
  }
  let [open, known] = [0, 0];
  for (let at = COUNTED_FROM_MS; at < PLAYED_MS; at += KILL_EVERY_MS) {
    const cut = streams.filter((s) => s.beganAt <= at && s.endsAt > at);
    open += cut.length;
    known += cut.filter((s) => s.writtenAt <= at).length;
  }
  const perS = (l.hosts * 1000) / (PLAYED_MS - COUNTED_FROM_MS);
  return { known: known / open, meanMs: delays / keys, batches: batches * perS, keys: keys * perS };
}
