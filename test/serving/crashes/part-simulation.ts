/**
 * Simulates prompt parts that crash the workers, in virtual time: hosts with the quarantine of parts, relays that delay and lose
 * news, a store with leases, and workers that crash and come back. Sound requests share all parts but the fatal ones.
 * @module
 */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import * as time from "../../../bench/measure/time.js";
import * as structuredLog from "../../../src/host/structured-log.js";
import type * as callerRequest from "../../../src/serving/caller-request.js";
import * as catalog from "../../../src/serving/catalog.js";
import * as partQuarantine from "../../../src/serving/crashes/part-quarantine.js";
import * as quarantineWriter from "../../../src/serving/crashes/quarantine-writer.js";
import * as quarantine from "../../../src/serving/quarantine.js";
import * as records from "../../../src/serving/crashes/records.js";
import * as suspicion from "../../../src/serving/suspicion.js";

/** How hosts decide: not by parts at all, by the number of crashes under each part, or as the product does. */
export type Way = "none" | "counts" | "sets";

export interface Plan {
  readonly seed: number;
  readonly way: Way;
  readonly hosts: number;
  readonly workers: number;
  readonly fatalPerS: number;
  readonly soundPerS: number;
  /** Fatal parts, which requests hold in turn, and whether they come first in the prompt. */
  readonly fatalParts: number;
  readonly isFirst?: boolean;
  /** Number of requests with a fatal part that callers repeat in turn; all differ unless set. */
  readonly repeated?: number;
  /** Number of other parts of which each prompt holds one, besides the part that all hold. */
  readonly variants: number;
  /** Sends per second of one request that crashes its workers, whose parts are sound. */
  readonly sameRequestPerS?: number;
  /** Workers per second that crash by themselves, and milliseconds at which a third of them crashes at once. */
  readonly crashesPerS?: number;
  readonly domainLostAt?: number;
  /** Milliseconds from which sound requests are sent; 0 unless set. */
  readonly soundFrom?: number;
  /** Milliseconds at which all hosts and relays lose what they know, and a part that stops crashing workers then. */
  readonly restartAt?: number;
  readonly curedAt?: number;
  /** Simulated milliseconds; {@link SIMULATED_MS} unless set. */
  readonly forMs?: number;
}

export interface Outcome {
  /** Workers that crashed under one part, at most. */
  readonly crashed: number;
  /** Sends of requests with one part that reached workers later than the users' bound after its fifth crash, at most. */
  readonly late: number;
  /** Share of the sound requests that were served, from twice the bound after the fifth crash; of all without a fatal part. */
  readonly soundShare: number;
  /** Share of the requests with a fatal part that were served in the last third, which is 0 unless they were cured. */
  readonly curedShare: number;
  /** News received by the busiest host, and calls to the store by all hosts. */
  readonly news: number;
  readonly calls: number;
}

const SIMULATED_MS = 24_000;
const CALM_MS = 2000;
const BOUND_MS = 3000;
const CRASHES = 5;
const ATTEMPTS = 2;
const MIN_CRASHES = 3;
/** Ranges of milliseconds: a run after its first event, and before it, a worker's downtime, news through one relay, and a call to the store. */
const RUN_MS = [100, 2500] as const;
const FIRST_MS = [20, 300] as const;
const DOWN_MS = [1500, 4000] as const;
const NEWS_MS = [1, 200] as const;
const STORE_MS = [4, 500] as const;
const RELAYS = 3;
const LOSS_RATE = 0.05;

interface Worker {
  starts: number;
  isUp: boolean;
  readonly running: Map<object, () => void>;
}

interface Host {
  known: records.CrashRecords;
  observed: records.CrashRecords;
  news: number;
  parts: partQuarantine.PartQuarantine;
  quarantined: ReadonlyMap<string, string>;
}

/** Simulates one seed. */
export async function simulate(plan: Plan): Promise<Outcome> {
  const rng = generators.xoroshiro128plus(plan.seed * 7919 + plan.hosts);
  const random = (): number => uniform.uniformFloat64(rng);
  for (let i = 0; i < 8; i++) random();
  const within = ([min, max]: readonly [number, number]): number => min + random() * (max - min);
  const pick = <T>(list: readonly T[]): T | undefined => list[Math.floor(random() * list.length)];
  const clk = new time.Time();
  const after = (ms: number, run: () => void): void => {
    clk.after(ms, run);
  };
  const endAt = plan.forMs ?? SIMULATED_MS;
  const tally = { calls: 0 };
  const fatal = Array.from({ length: Math.max(1, plan.fatalParts) }, () => {
    return { crashed: 0, late: 0, fifthAt: Infinity };
  });
  const sound = { sent: 0, served: 0 };
  const cured = { sent: 0, served: 0 };
  const store = new Map<string, { readonly text: string; readonly until: number }>();
  const storedNow = (): ReadonlyMap<string, string> =>
    new Map(
      [...store].flatMap(([key, { text, until }]) => {
        const id = quarantine.identityOf(key);
        return id !== undefined && until > clk.mono() ? [[id, text]] : [];
      }),
    );
  const showStore = (): void => {
    const kept = storedNow();
    after(within(STORE_MS), () => {
      for (const h of hosts) h.quarantined = kept;
    });
  };
  const claim = (key: string, ttlMs: number, text: string): Promise<boolean> => {
    tally.calls++;
    const isNew = (store.get(key)?.until ?? 0) <= clk.mono();
    if (isNew) {
      store.set(key, { text, until: clk.mono() + ttlMs });
      if (text !== "") showStore();
    }
    return Promise.resolve(isNew);
  };
  const remove = (key: string): Promise<void> => {
    tally.calls++;
    store.delete(key);
    showStore();
    return Promise.resolve();
  };
  const tell = (from: Host, n: records.News): void => {
    const seenAt = clk.mono();
    from.known = records.apply(from.known, n, clk.mono());
    from.observed = records.apply(from.observed, n, clk.mono());
    for (const h of hosts) {
      if (h === from) continue;
      const delays = Array.from({ length: RELAYS }, () =>
        random() < LOSS_RATE ? Infinity : within(NEWS_MS),
      );
      after(Math.min(...delays, BOUND_MS), () => {
        h.news += RELAYS;
        h.known = records.apply(h.known, { ...n, ageMs: clk.mono() - seenAt }, clk.mono());
        if (plan.way === "sets") h.parts.refresh();
      });
    }
  };
  const createHost = (): Host => {
    const host = { known: records.EMPTY, observed: records.EMPTY, news: 0, quarantined: new Map() };
    const deps: partQuarantine.Deps = {
      clock: clk,
      log: structuredLog.silent,
      catalog: () => ({ ...catalog.EMPTY, quarantined: h.quarantined }),
      known: () => h.known,
      observed: () => h.observed,
      publish: (_key, n) => {
        tell(h, n);
      },
      claim,
      remove,
      hearsAll: () => true,
      hostCount: () => plan.hosts,
      random,
    };
    const writer = new quarantineWriter.QuarantineWriter(deps);
    const h: Host = { ...host, parts: new partQuarantine.PartQuarantine(deps, writer) };
    return h;
  };
  let hosts: readonly Host[] = Array.from({ length: plan.hosts }, createHost);
  const workers = Array.from({ length: plan.workers }, (): Worker => {
    return { starts: 0, isUp: true, running: new Map() };
  });

  const isWithheld = (h: Host, meta: callerRequest.Meta): boolean => {
    if (suspicion.evaluate(h.known, meta.id, clk.mono()).kind === "quarantined") return true;
    switch (plan.way) {
      case "none":
        return false;
      case "counts":
        return meta.parts.slice(0, -1).some(({ id }) => crashesSince(h.known, id) >= MIN_CRASHES);
      case "sets":
        return h.parts.withheld(meta) !== undefined;
    }
  };
  const crash = (w: Worker): void => {
    if (!w.isUp) return;
    w.isUp = false;
    w.starts++;
    const callbacks = [...w.running.values()];
    w.running.clear();
    for (const onCrash of callbacks) onCrash();
    after(within(DOWN_MS), () => {
      w.isUp = true;
    });
  };
  /** Sends a request to a worker; calls `onEnd` with whether it ran to its end. */
  const send = (
    h: Host,
    meta: callerRequest.Meta,
    fault: (typeof fatal)[number] | undefined,
    onEnd: (isWhole: boolean) => void,
  ): void => {
    const w = pick(workers.filter((x) => x.isUp));
    if (!w) {
      onEnd(false);
      return;
    }
    if (fault && clk.mono() > fault.fifthAt + BOUND_MS) fault.late++;
    const worker = `${workers.indexOf(w)}#${w.starts}`;
    const [key, sentAt, firstMs] = [{}, clk.mono(), within(FIRST_MS)];
    const parts = meta.parts.slice(0, -1).map(({ id }) => id);
    w.running.set(key, () => {
      const underWayMs = clk.mono() - sentAt;
      const answeringMs = Math.max(0, underWayMs - firstMs);
      const crashed = { worker, underWayMs, answeringMs, peers: plan.workers, parts };
      tell(h, { kind: "ended", identity: meta.id, ...crashed, ageMs: 0 });
      onEnd(false);
    });
    after(firstMs + (fault ? 0 : within(RUN_MS)), () => {
      if (!w.running.has(key)) return;
      if (fault) {
        fault.crashed++;
        if (fault.crashed === CRASHES) fault.fifthAt = clk.mono();
        crash(w);
        return;
      }
      w.running.delete(key);
      if (plan.way === "sets") h.parts.recordRun(meta);
      if (plan.way === "counts")
        for (const part of parts)
          if (crashesSince(h.known, part) > 0)
            tell(h, { kind: "cleared", parts: [part], ageMs: 0 });
      onEnd(true);
    });
  };
  let count = 0;
  /** Serves a request with up to two attempts; calls `onEnd` with whether it was served, and whether at the first attempt. */
  const serve = (
    parts: readonly string[],
    fault: (typeof fatal)[number] | undefined,
    onEnd: (n: number) => void,
    name = `r${count++}`,
  ): void => {
    const h = pick(hosts);
    if (!h) return;
    const id = name.padStart(22, "x");
    const all = [...parts, id].map((p) => ({ id: p, tokens: 1 }));
    const meta = { id, waitMs: 5000, promptTokens: 1, answerTokens: 1, parts: all };
    const attempt = (n: number): void => {
      if (n > ATTEMPTS) {
        onEnd(0);
        return;
      }
      if (!isWithheld(h, meta)) {
        run(n);
        return;
      }
      void (async () => {
        await h.parts.pendingProbe(meta);
        if (isWithheld(h, meta)) onEnd(0);
        else run(n);
      })();
    };
    const run = (n: number): void => {
      send(h, meta, fault, (isWhole) => {
        if (isWhole) onEnd(n);
        else
          after(10, () => {
            attempt(n + 1);
          });
      });
    };
    attempt(1);
  };
  const repeat = (perS: number, run: () => void): void => {
    run();
    after((-Math.log(1 - random()) * 1000) / perS, () => {
      repeat(perS, run);
    });
  };
  const countedFrom = (): number =>
    plan.fatalPerS === 0 ? 0 : Math.min(endAt / 3, ...fatal.map((f) => f.fifthAt)) + 2 * BOUND_MS;
  const variant = (): string => `b${Math.floor(random() * plan.variants)}`;
  after(plan.soundFrom ?? 0, () => {
    repeat(plan.soundPerS, () => {
      const at = clk.mono();
      serve(["a", variant()], undefined, (n) => {
        if (at < countedFrom()) return;
        sound.sent++;
        if (n > 0) sound.served++;
      });
    });
  });
  after(CALM_MS, () => {
    if (plan.fatalPerS === 0) return;
    repeat(plan.fatalPerS, () => {
      const which = count % plan.fatalParts;
      const part = `f${which}`;
      const at = clk.mono();
      const parts = plan.isFirst ? [part, "a", variant()] : ["a", part, variant()];
      const fault = clk.mono() < (plan.curedAt ?? Infinity) ? fatal[which] : undefined;
      const onEnd = (n: number): void => {
        if (at < (2 * endAt) / 3) return;
        cured.sent++;
        if (n > 0) cured.served++;
      };
      serve(parts, fault, onEnd, `${part}-${count++ % (plan.repeated ?? Infinity)}`);
    });
  });
  const { sameRequestPerS } = plan;
  if (sameRequestPerS) {
    const fault = { crashed: 0, late: 0, fifthAt: Infinity };
    after(CALM_MS, () => {
      repeat(sameRequestPerS, () => {
        serve(["a", "b0"], fault, () => undefined, "same");
      });
    });
  }
  if (plan.crashesPerS) {
    repeat(plan.crashesPerS, () => {
      const w = pick(workers.filter((x) => x.isUp));
      if (w) crash(w);
    });
  }
  if (plan.domainLostAt !== undefined)
    after(plan.domainLostAt, () => {
      for (const w of workers.filter((_, i) => i % 3 === 0)) crash(w);
    });
  if (plan.restartAt !== undefined)
    after(plan.restartAt, () => {
      hosts = hosts.map(createHost);
      for (const h of hosts) h.quarantined = storedNow();
    });
  await clk.runUntil(endAt);
  const share = (s: typeof sound): number => (s.sent === 0 ? 0 : s.served / s.sent);
  const news = Math.max(...hosts.map((h) => h.news));
  const most = (of: (f: (typeof fatal)[number]) => number): number => Math.max(...fatal.map(of));
  const [crashed, late] = [most((f) => f.crashed), most((f) => f.late)];
  return { ...tally, crashed, late, soundShare: share(sound), curedShare: share(cured), news };
}

/** Number of workers that crashed under requests with a part since such a request last ran to its end. */
function crashesSince(known: records.CrashRecords, part: string): number {
  const since = known.cleared.get(part) ?? -Infinity;
  const own = records.crashesOf(known).filter((c) => c.at > since && c.parts.includes(part));
  return new Set(own.map((c) => c.worker)).size;
}
