/**
 * An entry daemon's part in keeping usage caps: it asks the place of a team's cap to let requests in. The place is an
 * endpoint daemon that all entry daemons choose alike; where it is not reached the next one in their order is taken,
 * and where none is, this host keeps to its own part of the cap, if it has heard how many hosts there are.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as hash from "../host/hash.js";
import type * as record from "../host/record.js";
import * as allowance from "./allowance.js";
import type * as ask from "./ask.js";
import * as messages from "./cap-messages.js";
import type * as catalog from "./catalog.js";
import type * as link from "./link.js";

/** Endpoint daemons that may be the place of one team's cap. */
const PLACES = 3;
/** Groups of teams whose caps have the same place, so that a host keeps in touch with as many places at most. */
const GROUPS = 16;
/** Milliseconds for which a place that fell silent is passed over. */
const AVOIDED_MS = 2000;
/** Milliseconds between two words to each place: three in a lease. */
const KEEP_MS = 650;
/** Milliseconds that a word to a place may be on its way, after which its lease begins. */
const WAY_MS = 300;
/** Hosts taken for granted where there is no endpoint daemon that could tell. */
const HOSTS = 6;
/** Milliseconds after which a caller is told to come back where nobody can tell whether it is let in. */
const UNKNOWN_MS = 400;

/** Whether a request is let in. */
export type Verdict =
  | { readonly kind: "in" }
  /** The team is at its cap. */
  | { readonly kind: "over"; readonly comeBackMs: number }
  /** No place that knows is reached. */
  | { readonly kind: "unsure"; readonly comeBackMs: number };

const IN: Verdict = { kind: "in" };

/** What a request counts against its team's cap. */
export function unitsOf(cap: catalog.Cap, meta: ask.Meta): number {
  if (cap.unit === "requests") return 1;
  const tokens = meta.promptTokens + meta.answerTokens;
  return tokens > 0 ? tokens : cap.defaultTokens;
}

/** A request that waits for its team's place. */
interface Waiting {
  readonly units: number;
  readonly resolve: (v: Verdict) => void;
}

/** What is under way for one team. */
interface Queue {
  waiting: readonly Waiting[];
  asking: boolean;
}

/** An endpoint daemon that may be the place of a cap, as an entry daemon reaches it. */
export type Place = Pick<link.Link, "address" | "isHeard" | "isForgotten" | "draw" | "send">;

/** What a place was told last, as text, and the steady ms of the last word to it. */
interface Told {
  readonly text: string;
  readonly at: number;
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: record.Log;
  readonly catalog: () => catalog.Catalog;
  /** Connections to the endpoint daemons that may keep what belongs to a key, the first one first. */
  readonly places: (key: string, n: number) => readonly Place[];
  /** The most entry daemons there were in a while; undefined where none was heard of since the start. */
  readonly hosts: () => number | undefined;
  /** Units by which a team may exceed its cap at once. */
  readonly overdraft: number;
}

export class Caps {
  private readonly queues = new Map<string, Queue>();
  /** Where each team's cap is kept for this host. */
  private readonly homes = new Map<string, Place>();
  /** Steady ms until which a place is passed over, by its address. */
  private readonly avoided = new Map<string, number>();
  /** By the address of each place. */
  private readonly told = new Map<string, Told>();
  private readonly own = new Map<string, allowance.Allowance>();
  private timer: clock.Timer | undefined;

  constructor(private readonly deps: Deps) {}

  /** Whether one more request of a team is let in; it counts `units`. */
  admit(team: catalog.Team, units: number): Promise<Verdict> | Verdict {
    if (!team.cap) return IN;
    const queue = this.queues.get(team.name) ?? { waiting: [], asking: false };
    this.queues.set(team.name, queue);
    return new Promise((resolve) => {
      queue.waiting = [...queue.waiting, { units, resolve }];
      if (!queue.asking) void this.ask(team, queue);
    });
  }

  /** A request that was let in did not run. */
  refund(team: catalog.Team, units: number): void {
    const { name, cap } = team;
    if (!cap) return;
    const home = this.homes.get(name);
    const left = this.own.get(name);
    if (home) home.send({ kind: "refund", team: name, units });
    else if (left) this.own.set(name, allowance.refund(left, cap, units));
  }

  /** What a place must know before it is asked, when it is reached. */
  greeting(address: string): readonly messages.Attach[] {
    this.told.delete(address);
    const caps = this.capped.filter((t) => this.homes.get(t.name)?.address === address);
    if (caps.length === 0) return [];
    const m = this.attaching(caps);
    this.note(address, JSON.stringify(m));
    return [m];
  }

  /** Chooses each cap's place anew, tells the places what has changed, and that the rest has not. */
  refresh(): void {
    this.timer?.cancel();
    if (this.capped.length === 0 && this.told.size === 0) return;
    const kept = new Map<Place, catalog.Team[]>();
    for (const t of this.capped) {
      const home = this.settle(t.name);
      if (home) kept.set(home, [...(kept.get(home) ?? []), t]);
    }
    for (const [place, teams] of kept) this.tell(place, teams);
    for (const place of this.left(kept)) this.tell(place, []);
    this.timer = this.deps.clock.after(KEEP_MS, () => {
      this.refresh();
    });
  }

  close(): void {
    this.timer?.cancel();
  }

  private get capped(): readonly catalog.Team[] {
    return (this.deps.catalog().config?.teams?.all ?? []).filter((t) => t.cap);
  }

  /**
   * Where a team's cap is kept for this host now. Another place takes it over only once the one before counts this host
   * no more, so that no part of a cap is given out twice.
   */
  private settle(team: string): Place | undefined {
    const wanted = this.place(team);
    const home = this.homes.get(team);
    if (home === wanted || (home && !this.isFree(home))) return home;
    if (wanted) this.homes.set(team, wanted);
    else this.homes.delete(team);
    this.own.delete(team);
    return wanted;
  }

  /** Whether a place counts this host no more, or is told so before it hears anything else. */
  private isFree(home: Place): boolean {
    if (home.isForgotten || this.answers(home)) return true;
    return this.freeInMs(home) <= 0;
  }

  private freeInMs(home: Place): number {
    const at = this.told.get(home.address)?.at ?? -Infinity;
    return at + messages.LEASE_MS + WAY_MS - this.deps.clock.steady();
  }

  private answers(place: Place): boolean {
    const avoidedUntil = this.avoided.get(place.address) ?? -Infinity;
    return place.isHeard && avoidedUntil <= this.deps.clock.steady();
  }

  /** Endpoint daemons that may be the place of a team's cap, the first one first. */
  private places(team: string): readonly Place[] {
    return this.deps.places(`caps/${hash.of32(team) % GROUPS}`, PLACES);
  }

  /** The first endpoint daemon in a team's order that is reached and answers. */
  private place(team: string): Place | undefined {
    return this.places(team).find((p) => this.answers(p));
  }

  /** Places that were told of caps which they keep no more. */
  private left(kept: ReadonlyMap<Place, unknown>): readonly Place[] {
    const all = new Set(this.capped.flatMap((t) => this.places(t.name)));
    const addresses = new Set([...kept.keys()].map((p) => p.address));
    return [...all].filter((p) => this.told.has(p.address) && !addresses.has(p.address));
  }

  private tell(place: Place, teams: readonly catalog.Team[]): void {
    if (!this.answers(place)) return;
    const m = this.attaching(teams);
    const text = JSON.stringify(m);
    const isKnown = this.told.get(place.address)?.text === text;
    if (isKnown && teams.length === 0) return;
    place.send(isKnown ? { kind: "keep" } : m);
    this.note(place.address, text);
  }

  private note(address: string, text: string): void {
    this.told.set(address, { text, at: this.deps.clock.steady() });
  }

  private attaching(teams: readonly catalog.Team[]): messages.Attach {
    return {
      kind: "attach",
      version: this.deps.catalog().config?.version ?? 0,
      hosts: this.hosts(),
      caps: teams.flatMap(({ name, cap }) =>
        cap ? [{ team: name, perS: cap.perS, burst: cap.burst }] : [],
      ),
    };
  }

  private hosts(): number {
    return Math.max(1, this.deps.hosts() ?? HOSTS);
  }

  /** Asks for all that wait, until none does. */
  private async ask(team: catalog.Team, queue: Queue): Promise<void> {
    queue.asking = true;
    while (queue.waiting.length > 0) {
      const { waiting } = queue;
      const got = await this.drawn(
        team,
        waiting.map((w) => w.units),
      );
      queue.waiting = queue.waiting.slice(waiting.length);
      waiting.forEach((w, i) => {
        w.resolve(i < got.granted ? IN : got.refusal);
      });
    }
    queue.asking = false;
  }

  private async drawn(team: catalog.Team, wants: readonly number[]): Promise<Drawn> {
    for (let tried = 0; tried < PLACES; tried++) {
      const at = this.homes.get(team.name);
      if (!at || !this.answers(at)) this.refresh();
      const home = this.homes.get(team.name);
      if (!home) return this.ownDraw(team, wants);
      if (!this.answers(home)) {
        return { granted: 0, refusal: unsure(Math.max(UNKNOWN_MS, this.freeInMs(home))) };
      }
      const got = await home.draw(team.name, wants);
      if (got) return { granted: got.granted, refusal: refused(got.waitMs) };
      this.avoided.set(home.address, this.deps.clock.steady() + AVOIDED_MS);
      this.deps.log.warn("The place of a team's cap does not answer.", {
        team: team.name,
        peer: home.address,
      });
    }
    return { granted: 0, refusal: unsure(UNKNOWN_MS) };
  }

  /** This host's part of a team's cap where it keeps that by itself; undefined where it can't tell. */
  private ownPart(team: string): number | undefined {
    if (this.deps.hosts() === undefined && this.places(team).length > 0) return undefined;
    return 1 / this.hosts();
  }

  private ownLeft(name: string, cap: catalog.Cap, part: number): allowance.Allowance {
    const now = this.deps.clock.steady();
    const left = this.own.get(name) ?? allowance.begun(now, part * this.deps.overdraft);
    return allowance.flow(left, cap, part, now);
  }

  private ownDraw({ name, cap }: catalog.Team, wants: readonly number[]): Drawn {
    if (!cap) return { granted: wants.length, refusal: IN };
    const part = this.ownPart(name);
    if (part === undefined) return { granted: 0, refusal: unsure(UNKNOWN_MS) };
    const left = this.ownLeft(name, cap, part);
    const got = allowance.draw(left, cap, part, wants, this.deps.overdraft);
    this.own.set(name, got.left);
    return { granted: got.granted, refusal: refused(got.waitMs) };
  }
}

/** What came of asking for some requests: how many are let in, from the first on, and what the others are told. */
interface Drawn {
  readonly granted: number;
  readonly refusal: Verdict;
}

function unsure(comeBackMs: number): Verdict {
  return { kind: "unsure", comeBackMs };
}

function refused(waitMs: number | undefined): Verdict {
  return waitMs === undefined ? unsure(UNKNOWN_MS) : { kind: "over", comeBackMs: waitMs };
}
