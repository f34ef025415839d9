/**
 * Admission control of an engine with steady streams: keeps what room and pace need to know of its seats, and tells the
 * engine manager whether a seat may be granted, how long requests wait, and how crowded the engine is.
 * @module
 */
import * as backlog from "../backlog.js";
import type * as catalog from "../catalog.js";
import type * as residency from "../residency.js";
import type * as seatMessages from "../seat-messages.js";
import type * as seatQueue from "../seat-queue.js";
import type * as seatTable from "../seat-table.js";
import * as fairShares from "../sharing/fair-shares.js";
import * as lateStreams from "./late-streams.js";
import * as pace from "./pace.js";
import * as room from "./room.js";

/** A seat that is asked for or granted. */
interface Entry {
  /** Team of the caller, if any. */
  readonly team: string | undefined;
  readonly need: room.Need;
  readonly rank: number;
  /** Longest pause on time of its stream, in ms; Infinity if its route sets none. */
  readonly gapMs: number;
  /** Monotonic ms of the grant; undefined until then. */
  readonly grantedAt: number | undefined;
  /** Prompt tokens granted on the engine until its first event; undefined until that. */
  readonly totalAtFirst: number | undefined;
  /** Whether the prompts granted during its whole stream are known, so that the pace is learned from it. */
  readonly isTracked: boolean;
}

/** The engine as it is when seats are decided. */
export interface EngineAt {
  readonly batch: catalog.Batch;
  /** Smoothed ms that a seat is held. */
  readonly holdMs: number;
  /** Monotonic ms. */
  readonly now: number;
}

/**
 * Milliseconds for which smaller requests are served before one that lacks tokens in the KV cache. After that, the
 * tokens that become free are kept for it. It is about as long as a fast target for the first event, so that a large
 * request neither stops a batch with room for others at once, nor waits until no small one comes.
 */
const OVERTAKE_MS = 500;
/** Tokens assumed of a request that arrives next, before any was asked for. */
const TYPICAL_NEED: room.Need = { promptTokens: 1000, answerTokens: 200 };

/** Learned times of an engine, and how slow it is now. */
export interface PaceInputs extends pace.EventTime {
  /** How many times as long as usual it takes, at least 1. */
  readonly slowness: number;
}

/** What several estimates for an engine at one time take from all seats. */
interface Summary {
  readonly at: EngineAt;
  readonly usage: room.Usage;
  /** Prefill allowed beside the running streams; undefined if none runs. */
  readonly allowance: pace.Allowance | undefined;
  /** How slow the engine is, computed when first asked for; undefined if no stream runs. */
  readonly slowness: () => pace.Slowness | undefined;
  /** Mean of the requests that are asked for or granted. */
  readonly typical: room.Need;
}

export class SteadyAdmission {
  private readonly entries = new Map<string, Entry>();
  private pace = pace.INITIAL;
  private late = lateStreams.NONE;
  /** The latest summary; undefined after a change. */
  private latest: Summary | undefined;

  /** Adds a seat that is asked for; `rank` is {@link backlog.RANK_COUNT} if it will be late in any case. */
  add(id: string, m: seatMessages.Ask, rank: number): void {
    const need = { promptTokens: m.promptTokens, answerTokens: m.answerTokens };
    const gapMs = m.gapMs ?? Infinity;
    this.latest = undefined;
    this.entries.set(id, {
      team: m.team,
      need,
      rank,
      gapMs,
      grantedAt: undefined,
      totalAtFirst: undefined,
      isTracked: true,
    });
  }

  /** Adds the seats that are open when a configuration begins to ask for steady streams. */
  addOpen(seats: Iterable<seatTable.OpenSeat>): void {
    const reading: { readonly id: string; readonly tokens: number; readonly at: number }[] = [];
    for (const { id, seat, load } of seats) {
      const { tokens, rank, team, grantedAt, hasBegun } = load;
      this.entries.set(id, {
        team,
        need: { promptTokens: tokens, answerTokens: seat.answerTokens ?? 0 },
        rank,
        gapMs: seat.gapMs ?? Infinity,
        grantedAt,
        totalAtFirst: hasBegun ? 0 : undefined,
        isTracked: !hasBegun,
      });
      if (grantedAt !== undefined && !hasBegun) reading.push({ id, tokens, at: grantedAt });
    }
    this.latest = undefined;
    reading.sort((a, b) => a.at - b.at);
    for (const { id, tokens, at } of reading) this.pace = pace.withGrant(this.pace, id, tokens, at);
  }

  grant(id: string, now: number): void {
    const e = this.entries.get(id);
    if (!e) return;
    this.latest = undefined;
    this.entries.set(id, { ...e, grantedAt: now });
    this.pace = pace.withGrant(this.pace, id, e.need.promptTokens, now);
  }

  recordFirstEvent(id: string, now: number): void {
    const e = this.entries.get(id);
    if (e?.grantedAt === undefined || e.totalAtFirst !== undefined) return;
    this.latest = undefined;
    this.entries.set(id, { ...e, totalAtFirst: this.pace.totalTokens });
    this.pace = pace.withFirstEvent(this.pace, id, now);
  }

  /** Learns from the timing of a stream that ends; called before {@link remove}. */
  recordStream(id: string, t: seatMessages.StreamTiming, eventTokens: number, now: number): void {
    const e = this.entries.get(id);
    if (e?.totalAtFirst === undefined) return;
    this.latest = undefined;
    this.late = lateStreams.recordStream(this.late, t.pauseMs > e.gapMs, now);
    if (!e.isTracked) return;
    const tokens = this.pace.totalTokens - e.totalAtFirst;
    this.pace = pace.withStream(this.pace, t, tokens, eventTokens, now);
  }

  /** Share of the latest streams that were late by a pause. */
  lateStreams(now: number): number {
    return lateStreams.shareAt(this.late, now);
  }

  /** Removes a seat that ended, was denied or was given up. */
  remove(id: string): void {
    this.latest = undefined;
    this.entries.delete(id);
    this.pace = pace.withoutRead(this.pace, id);
  }

  /** Decides on the seats that wait. */
  admission(at: EngineAt): residency.Admission {
    return this.admissionOf(this.summary(at), this.summary(at).usage, this.pace);
  }

  private admissionOf(of: Summary, usage: room.Usage, p: pace.Pace): residency.Admission {
    const { at, allowance, slowness } = of;
    const needOf = (w: seatQueue.Waiter) => this.entries.get(w.seat)?.need ?? TYPICAL_NEED;
    return {
      limitsPrefill: allowance !== undefined,
      check: (w) => {
        const lack = room.lackOf(usage, needOf(w), at.batch);
        if (lack) {
          const holdsOthers = lack === "batch" || at.now - w.askedAt >= OVERTAKE_MS;
          return { why: "room", holdsOthers, inMs: room.freeInMs(this.granted(), at.now) };
        }
        const slow = slowness();
        if (!allowance || !slow) return undefined;
        const hold = pace.holdOf(p, needOf(w).promptTokens, allowance, slow, at.now);
        return hold && { why: "pace", holdsOthers: !hold.isTooLarge, inMs: hold.inMs };
      },
      granted: (w) =>
        this.admissionOf(
          of,
          room.plus(usage, needOf(w)),
          pace.withGrant(p, w.seat, needOf(w).promptTokens, at.now),
        ),
    };
  }

  /**
   * Estimated ms until a request that arrives now is granted a seat, by rank, rounded; with `over`, one that is served before
   * the waiting requests of the teams in it.
   */
  waitsByRank(at: EngineAt, over: ReadonlySet<string> = fairShares.NO_TEAMS): readonly number[] {
    const { usage, allowance, typical } = this.summary(at);
    let ahead: room.Usage = { requests: 0, tokens: 0 };
    let aheadTokens = 0;
    return this.waitingByRank(over).map((needs) => {
      for (const n of needs) {
        ahead = room.plus(ahead, n);
        aheadTokens += n.promptTokens;
      }
      const roomMs = room.waitMs(usage, ahead, typical, at.batch, at.holdMs);
      const paceMs = allowance
        ? pace.waitMs(this.pace, allowance, typical.promptTokens, aheadTokens, at.now)
        : 0;
      return Math.round(Math.max(roomMs, paceMs));
    });
  }

  /** Prefill granted lately or seats open, whichever is the larger share of what the engine allows; 1 is full. */
  crowding(at: EngineAt): number {
    const { usage, allowance, typical } = this.summary(at);
    const open = usage.requests / at.batch.requests;
    return Math.max(open, pace.load(this.pace, allowance, typical.promptTokens, at.now));
  }

  /** The summary for `at`; one is kept, for the estimates of one step. */
  private summary(at: EngineAt): Summary {
    if (this.latest?.at !== at) {
      const usage = room.usageOf(this.granted(), at.now);
      const allowance = this.allowance(at);
      const { pace: p } = this;
      let known: pace.Slowness | undefined;
      const slowness = () => (known ??= allowance && pace.slowness(p, allowance, at.now));
      this.latest = { at, usage, allowance, slowness, typical: this.typicalNeed() };
    }
    return this.latest;
  }

  /** What the pace is decided from, for the log; undefined if no stream runs. */
  paceInputs(at: EngineAt): PaceInputs | undefined {
    const { allowance } = this.summary(at);
    if (!allowance) return undefined;
    const { baseMs, msPerToken } = allowance;
    return { baseMs, msPerToken, slowness: this.summary(at).slowness()?.factor ?? 1 };
  }

  /**
   * Tokens of the longest prompt that leaves the running streams on time even if a slow spell begins while it is read;
   * undefined if none runs.
   */
  steadyPromptTokens(at: EngineAt): number | undefined {
    const { allowance } = this.summary(at);
    return allowance && Math.max(0, allowance.readMs / allowance.msPerToken);
  }

  /** Prefill allowed beside the running streams; undefined if none runs. */
  private allowance(at: EngineAt): pace.Allowance | undefined {
    let gapMs = Infinity;
    for (const e of this.entries.values()) {
      if (e.totalAtFirst !== undefined) gapMs = Math.min(gapMs, e.gapMs);
    }
    if (gapMs === Infinity) return undefined;
    return pace.allowance(this.pace, gapMs, at.batch.eventTokens, at.now);
  }

  private granted(): readonly room.GrantedSeat[] {
    const out: room.GrantedSeat[] = [];
    for (const { need, grantedAt, totalAtFirst } of this.entries.values()) {
      if (grantedAt !== undefined)
        out.push({ need, grantedAt, hasBegun: totalAtFirst !== undefined });
    }
    return out;
  }

  /** Mean of the requests that are asked for or granted. */
  private typicalNeed(): room.Need {
    const n = this.entries.size;
    if (n === 0) return TYPICAL_NEED;
    let [promptTokens, answerTokens] = [0, 0];
    for (const { need } of this.entries.values()) {
      promptTokens += need.promptTokens / n;
      answerTokens += need.answerTokens / n;
    }
    return { promptTokens, answerTokens };
  }

  /** The requests that wait for a seat, by rank. */
  private waitingByRank(over: ReadonlySet<string>): readonly (readonly room.Need[])[] {
    const out = Array.from({ length: backlog.RANK_COUNT }, (): room.Need[] => []);
    for (const e of this.entries.values()) {
      if (e.grantedAt === undefined && !fairShares.isOver(over, e))
        out[backlog.rankIndex(e.rank)]?.push(e.need);
    }
    return out;
  }
}
