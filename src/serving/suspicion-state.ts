/**
 * One daemon's knowledge of requests that crash their workers, and the messages by which daemons
 * share it. An entry daemon tells a few endpoint daemons; each of these tells all connected entry
 * daemons and those that connect later.
 * @module
 */
import * as zod from "zod";
import type * as clock from "../host/clock.js";
import type * as structuredLog from "../host/structured-log.js";
import * as errors from "../host/errors.js";
import * as promptParts from "./crashes/prompt-parts.js";
import * as identities from "./identity.js";
import * as crashRecords from "./crashes/records.js";

/** Maximum pieces of news in one message. */
const MAX_NEWS = 64;
/** Maximum length of a worker's id; above that of any key of the store with a start time. */
const MAX_WORKER_LENGTH = 256;
/** Number of checks for expired records within the time after which a record expires. */
const EXPIRY_CHECKS = 10;
/** Maximum length of a parse error in the log. */
const MAX_REASON_LENGTH = 200;

const identity = zod.string().regex(identities.PATTERN);
const worker = zod.string().min(1).max(MAX_WORKER_LENGTH);
const ageMs = zod.number().min(0);
const underWayMs = zod.number().min(0);
const answeringMs = zod.number().min(0);
const peers = zod.int().min(1);
const part = zod.string().min(1).max(promptParts.MAX_ID_LENGTH);
const parts = zod.array(part).max(promptParts.MAX_PARTS).readonly();
const news = zod.discriminatedUnion("kind", [
  zod
    .object({
      kind: zod.literal("ended"),
      identity,
      worker,
      underWayMs,
      peers,
      // Daemons of earlier builds send neither of the next two.
      answeringMs: answeringMs.default(0),
      parts: parts.default([]),
      ageMs,
    })
    .readonly(),
  zod
    .object({
      kind: zod.literal("ran"),
      identity,
      workers: zod.array(worker).max(MAX_NEWS).readonly(),
      ageMs,
    })
    .readonly(),
  zod.object({ kind: zod.literal("cleared"), parts, ageMs }).readonly(),
]);
const message = zod.array(news).max(MAX_NEWS);

/** A message on the wire; its {@link crashRecords.News} are validated only when they are applied. */
export const wire = zod.object({ kind: zod.literal("suspicion"), news: zod.unknown() }).readonly();
export type Message = zod.infer<typeof wire>;

/**
 * Splits news into messages of bounded length. News of cleared parts is kept apart, since daemons of earlier builds reject a
 * message with it.
 */
export function messages(all: readonly crashRecords.News[]): readonly Message[] {
  const isCleared = (n: crashRecords.News): boolean => n.kind === "cleared";
  return [...split(all.filter((n) => !isCleared(n))), ...split(all.filter(isCleared))];
}

function split(all: readonly crashRecords.News[]): readonly Message[] {
  const count = Math.ceil(all.length / MAX_NEWS);
  return Array.from({ length: count }, (_, i) => ({
    kind: "suspicion",
    news: all.slice(i * MAX_NEWS, (i + 1) * MAX_NEWS),
  }));
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
}

/** The crash records of one daemon, updated by messages. */
export class SuspicionState {
  private at = crashRecords.EMPTY;
  private unreadable = 0;
  /**
   * Monotonic ms before which no record expires; a record that expires later is judged by its own
   * age.
   */
  private expiresAt = Infinity;

  constructor(private readonly deps: Deps) {}

  /** The records that have not expired. */
  get records(): crashRecords.CrashRecords {
    const now = this.deps.clock.mono();
    if (now >= this.expiresAt) {
      this.at = crashRecords.expire(this.at, now);
      this.expiresAt = now + crashRecords.EXPIRY_MS / EXPIRY_CHECKS;
    }
    return this.at;
  }

  /** Whether no crash is known. */
  get isEmpty(): boolean {
    return this.at.crashes.size === 0;
  }

  /** Number of messages that could not be parsed. */
  get unreadableCount(): number {
    return this.unreadable;
  }

  /** Applies news; returns the pieces that changed something. */
  apply(all: readonly crashRecords.News[]): readonly crashRecords.News[] {
    const now = this.deps.clock.mono();
    return all.filter((n) => {
      const before = this.at;
      this.at = crashRecords.apply(before, n, now);
      this.expiresAt = Math.min(this.expiresAt, now + crashRecords.EXPIRY_MS - n.ageMs);
      return this.at !== before;
    });
  }

  /** Applies a peer's message; one that cannot be parsed is counted and changes nothing. */
  receive(m: Message, peer: string): readonly crashRecords.News[] {
    const read = message.safeParse(m.news);
    if (read.success) return this.apply(read.data);
    this.unreadable++;
    this.deps.log.error("A suspicion message cannot be parsed.", {
      peer,
      count: this.unreadable,
      why: errors.messageOf(read.error).slice(0, MAX_REASON_LENGTH),
    });
    return [];
  }

  /** The messages for a newly connected peer. */
  snapshot(): readonly Message[] {
    return messages(crashRecords.snapshot(this.records, this.deps.clock.mono()));
  }
}
