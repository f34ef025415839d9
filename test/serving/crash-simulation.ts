/**
 * Simulates requests that crash their workers, in virtual time. Each entry host knows what it
 * observed and what it was told by relays, which delay and lose news; a partition delays news
 * further. Workers crash and come back. Ordinary requests run beside the fatal one, break off when
 * their worker crashes, and are resent.
 * @module
 */
import * as queues from "tinyqueue";
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as crashRecords from "../../src/serving/crashes/records.js";
import * as suspicion from "../../src/serving/suspicion.js";

export interface Plan {
  readonly seed: number;
  readonly hosts: number;
  readonly workers: number;
  /** Attempts per second of the request that crashes its workers; 0 for none. */
  readonly fatalPerS: number;
  readonly ordinaryPerS: number;
  /** Workers per second that crash without that request. */
  readonly crashesPerS: number;
  /** Milliseconds at which a third of the workers crash at once; undefined for never. */
  readonly domainLostAt?: number;
}

export interface Outcome {
  /** Number of workers that crashed under the fatal request. */
  readonly ended: number;
  /**
   * Sends of the fatal request later than the users' bound after its third crash, by hosts not cut
   * off by the partition.
   */
  readonly late: number;
  /** Sends of the fatal request in flight when the third worker crashed. */
  readonly underWay: number;
  readonly ordinary: number;
  readonly served: number;
  /** Ordinary requests that some host quarantined. */
  readonly quarantined: number;
}

/**
 * Simulated milliseconds; then the ranges of milliseconds for an ordinary request's run, for the
 * fatal request's run, and for a worker's downtime.
 */
const SIMULATED_MS = 20_000;
const RUN_MS: readonly [number, number] = [100, 2000];
const FATAL_MS: readonly [number, number] = [20, 150];
const DOWN_MS: readonly [number, number] = [1000, 6000];
/** Maximum number of sends of one ordinary request. */
const MAX_SENDS = 4;
/**
 * Range of milliseconds for a piece of news through one relay, the part of news lost there, and the
 * number of relays.
 */
const NEWS_MS: readonly [number, number] = [1, 200];
const LOSS_RATE = 0.05;
const RELAYS = 3;
/** Milliseconds from and to which a third of the hosts is cut off by the partition. */
const PARTITION_MS: readonly [number, number] = [3000, 6000];
/** Seconds before the start in which workers crashed without the request. */
const HISTORY_S = 20;
/**
 * The users' bound, in milliseconds, on the time after the third crash until no host sends the
 * request.
 */
const BOUND_MS = 3000;
const MIN_CRASHES = 3;
const FATAL = "fatal".padStart(22, "x");

interface Event {
  readonly at: number;
  readonly run: () => void;
}

interface Worker {
  incarnation: number;
  up: boolean;
  /** The requests running on it, with the callback to call when the worker crashes. */
  readonly running: Map<object, () => void>;
}

interface Host {
  book: crashRecords.CrashRecords;
  readonly isCut: boolean;
}

/** Simulates one seed. */
export function simulate(plan: Plan): Outcome {
  const rng = generators.xoroshiro128plus(plan.seed * 7919 + plan.hosts);
  const random = (): number => uniform.uniformFloat64(rng);
  for (let i = 0; i < 8; i++) random();
  const uniformIn = ([min, max]: readonly [number, number]): number => min + random() * (max - min);
  const pick = <T>(list: readonly T[]): T | undefined => list[Math.floor(random() * list.length)];
  const queue = new queues.default<Event>([], (a, b) => a.at - b.at);
  let now = 0;
  const after = (ms: number, run: () => void): void => {
    queue.push({ at: now + ms, run });
  };
  const hosts = Array.from({ length: plan.hosts }, (_, i): Host => {
    return { book: crashRecords.EMPTY, isCut: i % 3 === 0 };
  });
  const workers = Array.from({ length: plan.workers }, (): Worker => {
    return { incarnation: 0, up: true, running: new Map() };
  });
  // If workers crash without the request, they did so before the start as well, and all hosts know
  // of it.
  for (let n = 0; n < plan.crashesPerS * HISTORY_S; n++) {
    const identity = `h${n}`.padStart(22, "x");
    const past = {
      kind: "ended",
      identity,
      worker: `past-${n}`,
      underWayMs: 500,
      answeringMs: 0,
      parts: [],
    } as const;
    const ageMs = (n * 1000) / plan.crashesPerS;
    for (const h of hosts)
      h.book = crashRecords.apply(h.book, { ...past, peers: plan.workers, ageMs }, 0);
  }
  const crashTimes: number[] = [];
  const condemned = new Set<string>();
  const tally = { ended: 0, late: 0, underWay: 0, ordinary: 0, served: 0 };
  let fatalInFlight = 0;

  const tell = (from: Host, news: crashRecords.News): void => {
    const seenAt = now;
    from.book = crashRecords.apply(from.book, news, now);
    for (const h of hosts) {
      if (h === from) continue;
      const delays = Array.from({ length: RELAYS }, () =>
        random() < LOSS_RATE ? Infinity : uniformIn(NEWS_MS),
      );
      // News that all relays lost arrives when a connection is made anew.
      let ms = Math.min(...delays, PARTITION_MS[1]);
      if ((h.isCut || from.isCut) && now >= PARTITION_MS[0] && now < PARTITION_MS[1])
        ms += PARTITION_MS[1] - now;
      after(ms, () => {
        h.book = crashRecords.apply(h.book, { ...news, ageMs: now - seenAt }, now);
      });
    }
  };
  const crash = (w: Worker): void => {
    if (!w.up) return;
    w.up = false;
    const callbacks = [...w.running.values()];
    w.running.clear();
    w.incarnation++;
    for (const onCrash of callbacks) onCrash();
    after(uniformIn(DOWN_MS), () => {
      w.up = true;
    });
  };
  /** Sends a request to a worker; calls `onEnd` with whether it ran to its end. */
  const send = (
    h: Host,
    id: string,
    runMs: number,
    isFatal: boolean,
    onEnd: (whole: boolean) => void,
  ): void => {
    const w = pick(workers.filter((x) => x.up));
    if (!w) {
      onEnd(false);
      return;
    }
    const { incarnation } = w;
    const name = `${workers.indexOf(w)}#${incarnation}`;
    const begun = now;
    const key = {};
    w.running.set(key, () => {
      const underWayMs = now - begun;
      const peers = plan.workers;
      tell(h, {
        kind: "ended",
        identity: id,
        worker: name,
        underWayMs,
        answeringMs: 0,
        peers,
        parts: [],
        ageMs: 0,
      });
      onEnd(false);
    });
    after(runMs, () => {
      if (!w.running.has(key)) return;
      if (isFatal) {
        crash(w);
        return;
      }
      w.running.delete(key);
      const own = h.book.crashes.get(id);
      if (own) tell(h, { kind: "ran", identity: id, workers: [...own.keys()], ageMs: 0 });
      onEnd(true);
    });
  };
  const isQuarantined = (h: Host, id: string): boolean =>
    suspicion.evaluate(h.book, id, now).kind === "quarantined";

  const fatalArrival = (): void => {
    const h = pick(hosts);
    if (h && !isQuarantined(h, FATAL)) {
      const third = crashTimes[MIN_CRASHES - 1];
      const inTouch = !h.isCut || now < PARTITION_MS[0] || now > PARTITION_MS[1] + BOUND_MS;
      if (third !== undefined && now > third + BOUND_MS && inTouch) tally.late++;
      fatalInFlight++;
      send(h, FATAL, uniformIn(FATAL_MS), true, () => {
        fatalInFlight--;
        crashTimes.push(now);
        tally.ended++;
        if (crashTimes.length === MIN_CRASHES) tally.underWay = fatalInFlight;
      });
    }
    after(-Math.log(1 - random()) * (1000 / plan.fatalPerS), fatalArrival);
  };
  let count = 0;
  const ordinaryArrival = (): void => {
    const id = `o${count++}`.padStart(22, "x");
    const h = pick(hosts);
    const runMs = uniformIn(RUN_MS);
    tally.ordinary++;
    const attempt = (left: number): void => {
      if (!h || left === 0) return;
      if (isQuarantined(h, id)) {
        condemned.add(id);
        return;
      }
      send(h, id, runMs, false, (whole) => {
        if (whole) tally.served++;
        else
          after(10, () => {
            attempt(left - 1);
          });
      });
    };
    attempt(MAX_SENDS);
    after(-Math.log(1 - random()) * (1000 / plan.ordinaryPerS), ordinaryArrival);
  };
  const spontaneousCrash = (): void => {
    const w = pick(workers.filter((x) => x.up));
    if (w) crash(w);
    after(-Math.log(1 - random()) * (1000 / plan.crashesPerS), spontaneousCrash);
  };
  after(1, ordinaryArrival);
  if (plan.fatalPerS > 0) after(1000, fatalArrival);
  if (plan.crashesPerS > 0) after(1, spontaneousCrash);
  if (plan.domainLostAt !== undefined)
    after(plan.domainLostAt, () => {
      for (const w of workers.filter((_, i) => i % 3 === 0)) crash(w);
    });
  for (let e = queue.pop(); e && e.at < SIMULATED_MS; e = queue.pop()) {
    now = e.at;
    e.run();
  }
  return { ...tally, quarantined: condemned.size };
}
