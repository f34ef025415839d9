/**
 * What an endpoint daemon knows of its engine: what the engine holds, the seats on it, and the teams' shares. Decisions
 * are made from a snapshot, which computes what it derives from this state when that is first needed, and once.
 * @module
 */
import type * as clock from "../host/clock.js";
import type * as catalog from "./catalog.js";
import type * as engineView from "./engine-view.js";
import * as loadHistory from "./load-history.js";
import * as residency from "./residency.js";
import * as seatTable from "./seat-table.js";
import * as slotOptions from "./slot-options.js";
import * as steady from "./pacing/steady.js";
import * as steadyAdmission from "./pacing/steady-admission.js";
import type * as fairShares from "./sharing/fair-shares.js";
import * as teamShares from "./sharing/team-shares.js";

/**
 * Milliseconds for which a snapshot is used while nothing changes. It covers the step that a message or a timer causes,
 * and is less than any timer's resolution, so no timeout passes unnoticed.
 */
const SNAPSHOT_MS = 1;

export interface Deps extends Pick<teamShares.Deps, "log" | "weights" | "onGrant"> {
  readonly clock: clock.Clock;
  /** Returns the configuration as currently known to this host. */
  readonly config: () => catalog.Config | undefined;
  /** Name of the service that the engine belongs to. */
  readonly service: string;
  /** Milliseconds after its declaration from which a version must be the only one in use. */
  readonly versionMs: number;
}

/** The parts of the state that are replaced as a whole. */
export interface Values {
  /** Incarnation of the engine; empty while it is out or not yet known. */
  readonly instance: string;
  readonly held: residency.State;
  readonly loadHistory: loadHistory.LoadHistory;
}

/** The state of one engine. Whoever changes `seats`, `admission` or `shares` must call {@link EngineState.changed}. */
export class EngineState {
  readonly seats = new seatTable.SeatTable();
  readonly shares: teamShares.TeamShares;
  private values: Values = {
    instance: "",
    held: residency.empty(),
    loadHistory: loadHistory.INITIAL,
  };
  private latest: Snapshot | undefined;
  private steadyAdmission: steadyAdmission.SteadyAdmission | undefined;
  /** The configuration that {@link steadyAdmission} was last compared with. */
  private cfg: catalog.Config | undefined;

  constructor(private readonly deps: Deps) {
    this.shares = new teamShares.TeamShares(deps);
  }

  get instance(): string {
    return this.values.instance;
  }

  get held(): residency.State {
    return this.values.held;
  }

  get loadHistory(): loadHistory.LoadHistory {
    return this.values.loadHistory;
  }

  /**
   * Admission control of an engine with steady streams; undefined for others, where nothing is kept for it. Where a
   * configuration begins to ask for steady streams, it starts from the open seats.
   */
  get admission(): steadyAdmission.SteadyAdmission | undefined {
    const cfg = this.deps.config();
    if (cfg === this.cfg) return this.steadyAdmission;
    this.cfg = cfg;
    const service = this.service();
    if (!cfg || !service || !steady.isSteady(cfg, service)) this.steadyAdmission = undefined;
    else if (!this.steadyAdmission) {
      this.steadyAdmission = new steadyAdmission.SteadyAdmission();
      this.steadyAdmission.addOpen(this.seats.open());
    }
    return this.steadyAdmission;
  }

  /** Replaces parts of the state. */
  set(values: Partial<Values>): void {
    this.values = { ...this.values, ...values };
    this.changed();
  }

  /** Makes the next {@link snapshot} a new one. */
  changed(): void {
    this.latest = undefined;
  }

  /** Whether nothing has changed since a snapshot was taken. */
  isLatest(s: Snapshot): boolean {
    return this.latest === s;
  }

  /** The engine's capacity by the configuration; undefined while that is unknown. */
  spec(): catalog.EngineSpec | undefined {
    return this.service()?.engine;
  }

  /** The service that the engine belongs to; undefined while it is unknown. */
  service(): catalog.Service | undefined {
    return this.deps.config()?.services.get(this.deps.service);
  }

  /** The state now, or less than {@link SNAPSHOT_MS} ago if it has not changed since. */
  snapshot(): Snapshot {
    const now = this.deps.clock.mono();
    const cfg = this.deps.config();
    const { latest } = this;
    if (latest && latest.cfg === cfg && now - latest.now < SNAPSHOT_MS) return latest;
    const { versionMs } = this.deps;
    const made = new Snapshot(this, this.values, { cfg, service: this.service(), versionMs, now });
    this.latest = made;
    return made;
  }
}

/** An engine with steady streams, as its admission control sees it. */
interface SteadyEngine {
  readonly admission: steadyAdmission.SteadyAdmission;
  readonly at: steadyAdmission.EngineAt;
}

/** The configuration and the time of a snapshot. */
interface Setting {
  readonly cfg: catalog.Config | undefined;
  readonly service: catalog.Service | undefined;
  readonly versionMs: number;
  /** Monotonic ms. */
  readonly now: number;
}

/** The state of an engine at one time, and what is derived from it; valid until the state changes. */
export class Snapshot implements engineView.EngineView {
  readonly instance: string;
  readonly held: residency.State;
  readonly loadHistory: loadHistory.LoadHistory;
  readonly seats: seatTable.SeatTable;
  readonly now: number;
  readonly cfg: catalog.Config | undefined;
  private readonly steadyEngine: SteadyEngine | undefined;
  private standingNow: fairShares.Standing | undefined;
  private optionsNow: residency.Options | undefined;
  private prefillNow: residency.PrefillLoad | undefined;
  private admissionNow: residency.Admission | undefined;
  private steadyNow: SteadyEstimates | undefined;

  constructor(
    private readonly state: EngineState,
    values: Values,
    private readonly setting: Setting,
  ) {
    const { cfg, service, now } = setting;
    this.instance = values.instance;
    this.held = values.held;
    this.loadHistory = values.loadHistory;
    this.seats = state.seats;
    this.now = now;
    this.cfg = cfg;
    const batch = service?.engine?.batch;
    const { admission } = state;
    if (batch && admission)
      this.steadyEngine = { admission, at: { batch, holdMs: state.seats.holdMs, now } };
  }

  /** How the teams stand; undefined without steady streams, as there is no limited room to share then. */
  get standing(): fairShares.Standing | undefined {
    if (!this.steadyEngine) return undefined;
    return (this.standingNow ??= this.state.shares.standing(this.held.waiting, this.now));
  }

  get options(): residency.Options {
    return (this.optionsNow ??= {
      ...slotOptions.optionsFor(
        this.setting.service?.engine,
        this.loadHistory,
        this.setting.versionMs,
      ),
      overTeams: this.standing?.over,
    });
  }

  get slots(): number {
    return this.options.slots;
  }

  /** Prompts with granted seats that the engine still has to read. */
  get prefill(): residency.PrefillLoad {
    return (this.prefillNow ??= {
      ms: this.seats.prefillMs(this.now),
      unstarted: this.seats.unstarted(this.now),
    });
  }

  /** Admission control; undefined without steady streams. */
  get admission(): residency.Admission | undefined {
    if (!this.steadyEngine) return undefined;
    const { admission, at } = this.steadyEngine;
    return (this.admissionNow ??= admission.admission(at));
  }

  /** What the pace is decided from; undefined without steady streams, or if none runs. */
  get paceInputs(): steadyAdmission.PaceInputs | undefined {
    return this.steadyEngine?.admission.paceInputs(this.steadyEngine.at);
  }

  /** Estimates of the admission control; undefined without steady streams. */
  get steady(): engineView.SteadyView | undefined {
    if (!this.steadyEngine) return undefined;
    return (this.steadyNow ??= new SteadyEstimates(this.steadyEngine, this.standing?.over));
  }
}

/** Estimates of the admission control, each computed when first needed. */
class SteadyEstimates implements engineView.SteadyView {
  private waits: readonly number[] | undefined;
  private fairWaits: readonly number[] | undefined;
  private crowdingNow: number | undefined;

  constructor(
    private readonly engine: SteadyEngine,
    private readonly over: ReadonlySet<string> | undefined,
  ) {}

  get waitsByRank(): readonly number[] {
    return (this.waits ??= this.engine.admission.waitsByRank(this.engine.at));
  }

  get fairWaitsByRank(): readonly number[] {
    if (!this.over || this.over.size === 0) return this.waitsByRank;
    return (this.fairWaits ??= this.engine.admission.waitsByRank(this.engine.at, this.over));
  }

  get crowding(): number {
    return (this.crowdingNow ??= this.engine.admission.crowding(this.engine.at));
  }

  get steadyPromptTokens(): number | undefined {
    return this.engine.admission.steadyPromptTokens(this.engine.at);
  }

  get lateStreams(): number {
    return this.engine.admission.lateStreams(this.engine.at.now);
  }
}
