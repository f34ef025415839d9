/**
 * An entry daemon's access to the register of origins: it lists what its catalog shows and the register lacks, drops what has not
 * been in use for long, and reads the register anew for streams that callers resume.
 * @module
 */
import * as clock from "../../host/clock.js";
import * as errors from "../../host/errors.js";
import type * as structuredLog from "../../host/structured-log.js";
import * as waker from "../../host/waker.js";
import type * as eras from "../../store/era.js";
import * as position from "../../store/position.js";
import type * as source from "../../store/source.js";
import type * as catalog from "../catalog.js";
import type * as origin from "./origin.js";
import * as register from "./register.js";
import * as shownRows from "./shown-rows.js";
import * as registerUsage from "./register-usage.js";
import * as streamAge from "./stream-age.js";

/** Least milliseconds for which an entry must not have been in use to be dropped; hosts may be cut off from the store that long. */
const MIN_UNUSED_MS = 120_000;
/** Milliseconds after a restore of the store within which hosts list again what it has lost. */
const RELIST_MS = 5000;
/** Milliseconds between checks of the register while the catalog does not change. */
const REVIEW_MS = 5000;
/** Milliseconds until a write that failed is tried again. */
const RETRY_MS = 250;
/** Milliseconds by which the hosts spread their writes, for each host and at most. */
const SPREAD_MS_PER_HOST = 2;
const MAX_SPREAD_MS = 1000;

export interface Deps {
  readonly clock: clock.Clock;
  readonly log: structuredLog.Log;
  readonly store: Pick<source.WritableSource, "era" | "read" | "replace">;
  readonly catalog: () => catalog.Catalog;
  /** Milliseconds for which every change of the catalog has been seen. */
  readonly watchedMs: () => number;
  /** Number of entry hosts; undefined if it is not known. */
  readonly hostCount: () => number | undefined;
  readonly random: () => number;
  /** Called when resumable streams may begin at further origins. */
  readonly onListed: () => void;
}

/** What the store says of the origins of a route's streams. */
export type Read =
  /** `only` is undefined if several are possible. */
  | { readonly kind: "read"; readonly only: origin.Origin | undefined }
  /** The store cannot be read. */
  | { readonly kind: "unread"; readonly why: string };

/** Follows and writes the register. */
export class OriginRegister {
  private readonly usage: registerUsage.RegisterUsage;
  /** The register as this host last read or wrote it by itself. */
  private latest = { register: register.EMPTY, at: position.Position.START };
  /** The register as last known, its era of the store, and whether it lacked nothing in any era that this host has seen. */
  private known = register.EMPTY;
  private era: eras.Era | undefined;
  private wasComplete = false;
  private lost = register.EMPTY;
  private restoredAt = -Infinity;
  private reading: Promise<register.Register> | undefined;
  private nextReading: Promise<register.Register> | undefined;
  private readonly waker: waker.Waker;
  private closed = false;

  constructor(private readonly deps: Deps) {
    this.usage = new registerUsage.RegisterUsage(deps.clock);
    this.waker = new waker.Waker(deps.clock);
  }

  /** The register as far as this host knows it. */
  private get current(): register.Register {
    const { origins, position: at } = this.deps.catalog();
    return this.latest.at.isAfter(at) ? this.latest.register : origins;
  }

  /** A position at which it was so. */
  private get currentAt(): position.Position {
    const { position: at } = this.deps.catalog();
    return this.latest.at.isAfter(at) ? this.latest.at : at;
  }

  /** Whether resumable streams may begin at an origin. */
  lists(o: origin.Origin): boolean {
    return register.lists(this.current, o) || register.lists(this.lost, o);
  }

  /** The only origin that a stream of a route can have by what this host knows; undefined if there may be several. */
  onlyOrigin(route: catalog.Route): origin.Origin | undefined {
    return register.onlyOrigin(this.current, route, this.deps.store.era);
  }

  /** The same by a register that is as new as the store when this is called. Never rejects. */
  async readOnlyOrigin(route: catalog.Route): Promise<Read> {
    try {
      const r = await this.readFresh();
      return { kind: "read", only: register.onlyOrigin(r, route, this.deps.store.era) };
    } catch (err) {
      return { kind: "unread", why: errors.messageOf(err) };
    }
  }

  /** Takes in a changed catalog. */
  catalogChanged(at: catalog.Catalog): void {
    this.registerChanged();
    const shown = shownRows.of(at);
    this.usage.update(shown);
    if (!register.includes(this.current, shown)) this.waker.wake();
  }

  /** Keeps the register up to date until {@link close}. */
  async run(): Promise<void> {
    const { clock: clk, log } = this.deps;
    while (!this.closed) {
      if (!this.isWriteDue()) {
        await this.waker.pause(REVIEW_MS);
        continue;
      }
      try {
        await clock.sleep(clk, this.spreadMs() * this.deps.random());
        await this.write();
      } catch (err) {
        const why = errors.messageOf(err);
        log.warn("The register of origins could not be written.", { why });
        await clock.sleep(clk, RETRY_MS);
      }
    }
  }

  close(): void {
    this.closed = true;
    this.waker.wake();
  }

  private isWriteDue(): boolean {
    if (this.deps.catalog().config === undefined) return false;
    // A restore of the store that changes nothing else is not reported.
    this.registerChanged();
    const { current } = this;
    const stored = current === register.EMPTY ? undefined : current;
    return register.format(this.next(stored)) !== register.format(current);
  }

  private spreadMs(): number {
    return Math.min(MAX_SPREAD_MS, SPREAD_MS_PER_HOST * (this.deps.hostCount() ?? 1));
  }

  /** Reads the register, and writes it as it ought to be if another host has not done so. */
  private async write(): Promise<void> {
    const was = await this.deps.store.read(register.KEY);
    const stored = was.text === undefined ? undefined : parse(was.text);
    if (stored) this.adopt(stored, was.position);
    const wanted = this.next(stored);
    const text = register.format(wanted);
    if (text === was.text) {
      this.adopt(wanted, was.position);
      return;
    }
    const at = await this.deps.store.replace(register.KEY, text, was);
    if (!at) return;
    this.deps.log.info("The register of origins was written.", register.fields(wanted));
    this.adopt(wanted, at);
  }

  private next(stored: register.Register | undefined): register.Register {
    const { clock: clk, store, catalog } = this.deps;
    const at = catalog();
    const watchedMs = this.deps.watchedMs();
    const streamMs = streamAge.longestMs(at.config);
    const unusedMs = Math.max(MIN_UNUSED_MS, streamMs);
    const eraMs = this.era === store.era ? clk.mono() - this.restoredAt : 0;
    const hasRelisted = this.wasComplete && eraMs >= RELIST_MS;
    return register.next(stored, {
      era: store.era,
      shown: shownRows.of(at),
      lost: this.lost,
      isUsed: (row) => watchedMs < unusedMs || this.usage.isUsed(row, unusedMs),
      isComplete: Math.min(watchedMs, eraMs) >= streamMs || hasRelisted,
    });
  }

  private adopt(r: register.Register, at: position.Position): void {
    if (!at.isAfter(this.latest.at)) return;
    this.latest = { register: r, at };
    this.registerChanged();
    this.deps.onListed();
  }

  private registerChanged(): void {
    const { current } = this;
    const { era } = this.currentAt;
    if (this.era !== undefined && era !== this.era) {
      this.restoredAt = this.deps.clock.mono();
      this.lost = register.union(this.known, this.lost);
    }
    this.era = era;
    this.known = current;
    this.usage.list(current);
    if (register.includes(current, this.lost)) this.lost = register.EMPTY;
    this.wasComplete ||= current.completeIn !== undefined && current.completeIn === this.era;
  }

  /** Reads the register by a call that begins now or later. */
  private readFresh(): Promise<register.Register> {
    if (!this.reading) {
      this.reading = this.read().finally(() => {
        this.reading = undefined;
      });
      return this.reading;
    }
    // The store may have answered the call under way before this one was made.
    const readNext = (): Promise<register.Register> => {
      this.nextReading = undefined;
      return this.readFresh();
    };
    this.nextReading ??= this.reading.then(readNext, readNext);
    return this.nextReading;
  }

  private async read(): Promise<register.Register> {
    const { text, position: at } = await this.deps.store.read(register.KEY);
    const r = text === undefined ? register.EMPTY : parse(text);
    this.adopt(r, at);
    return r;
  }
}

/** What cannot be parsed lists nothing, and is written anew. */
function parse(text: string): register.Register {
  try {
    return register.parse(text);
  } catch {
    return register.EMPTY;
  }
}
