/**
 * Runs one daemon as a process: its settings file, its log, and the signals it gets.
 * @module
 */
import * as child from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as yaml from "yaml";
import * as script from "../../deploy/script.cjs";
import * as teams from "./teams.js";

/**
 * Retry budget of all entry daemons together: in a window of `windowS` seconds, they may retry the share `ratio` of the
 * requests for a service, and `slack` requests more.
 */
export const RETRY_BUDGET = { ratio: 0.2, slack: 58, windowS: 10 };

/** Milliseconds that a daemon has between SIGTERM and SIGKILL. */
export const GRACE_MS = 5000;
/** Milliseconds after which a worker that announced that it leaves may get no more requests; sets `drainTimeoutMs`. */
export const DRAIN_MS = 2000;
/** Bounds in the daemons' settings. */
const BOUNDS = {
  graceS: GRACE_MS / 1000,
  drainTimeoutMs: DRAIN_MS,
  retryBudgetRatio: RETRY_BUDGET.ratio,
  budgetWindowS: RETRY_BUDGET.windowS,
  budgetSlack: RETRY_BUDGET.slack,
  contactMs: 3000,
  ...teams.BOUNDS,
};

/** Addresses and ports of a daemon and of the parts it talks to. */
export interface Plan {
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly ip: string;
  readonly seatPort: number;
  readonly store: string;
  /** Ports of an entry daemon for callers and for readiness checks. */
  readonly ports?: readonly [number, number];
  /** Address of the engine beside an endpoint daemon. */
  readonly engine?: string;
  readonly service?: string;
}

/** An entry or endpoint daemon, which can be started again after its end. */
export class Daemon {
  private process: child.ChildProcess | undefined;
  private readonly file: string;
  private readonly log: number;
  /** Whether it was told to end. */
  private isExpectedToEnd = false;
  /** Whether it is frozen, and whether it was at some time since it was asked to stop, which may then take longer. */
  private isFrozen = false;
  private wasFrozen = false;

  constructor(
    readonly plan: Plan,
    private readonly main: string,
    folder: string,
    /** Called when it ended by itself, or wrongly after it was told to. */
    private readonly fault: (what: string) => void,
  ) {
    this.file = path.join(folder, `${plan.name}.yaml`);
    this.log = fs.openSync(path.join(folder, `${plan.name}.log`), "a");
    this.writeSettings();
  }

  get callers(): string {
    return `${this.plan.ip}:${this.plan.ports?.[0]}`;
  }

  get readiness(): string {
    return `http://${this.plan.ip}:${this.plan.ports?.[1]}/-/readyz`;
  }

  get running(): boolean {
    return this.process !== undefined;
  }

  /** Writes the settings file. */
  private writeSettings(): void {
    const { name, ip, seatPort, store, ports, engine, service } = this.plan;
    const listen = ports && { front: `${ip}:${ports[0]}`, ready: `${ip}:${ports[1]}` };
    const settings = {
      nodeName: name,
      machineClass: "any",
      ip,
      zone: "a",
      listen: listen ?? {},
      internalPorts: [seatPort, seatPort],
      bounds: BOUNDS,
      platform: { address: store },
      ...(engine !== undefined && { app: engine, service }),
    };
    fs.writeFileSync(this.file, yaml.stringify(settings));
  }

  /** Starts it, unless it runs already, as when the end of another fault has started it. */
  start(): void {
    if (this.process) return;
    this.isExpectedToEnd = false;
    const env = {
      ...process.env,
      SUMACFIELD_CONFIG: this.file,
      SUMACFIELD_METRICS_PORT: "0",
    };
    const started = child.spawn(process.execPath, [...script.FLAGS, this.main, this.plan.role], {
      env,
      stdio: ["ignore", this.log, this.log],
    });
    this.process = started;
    started.once("exit", (code, signal) => {
      if (this.process === started) this.process = undefined;
      if (!this.isExpectedToEnd) this.fault(`${this.plan.name} ended by itself: ${code ?? signal}`);
    });
  }

  private async untilExit(): Promise<number | null> {
    const at = this.process;
    if (!at) return null;
    return new Promise((resolve) => at.once("exit", resolve));
  }

  /** Kills it with SIGKILL, and resolves once it has ended. */
  async kill(): Promise<void> {
    this.isExpectedToEnd = true;
    const exited = this.untilExit();
    this.process?.kill("SIGKILL");
    await exited;
  }

  /** Stops it with SIGTERM, and kills it if it does not end within {@link GRACE_MS}. */
  async stop(): Promise<void> {
    this.isExpectedToEnd = true;
    const exited = this.untilExit();
    this.process?.kill("SIGTERM");
    this.wasFrozen = this.isFrozen;
    const late = setTimeout(() => {
      if (!this.wasFrozen) this.fault(`${this.plan.name} did not end within its grace period`);
      this.process?.kill("SIGKILL");
    }, GRACE_MS);
    const code = await exited;
    clearTimeout(late);
    if (code !== 0 && code !== null) this.fault(`${this.plan.name} ended with status ${code}`);
  }

  /** Suspends the process until {@link thaw}. */
  freeze(): void {
    this.isFrozen = true;
    this.wasFrozen = true;
    this.process?.kill("SIGSTOP");
  }

  thaw(): void {
    this.isFrozen = false;
    this.process?.kill("SIGCONT");
  }

  /** Writes its settings again and makes it reload them, with SIGHUP. */
  reload(): void {
    this.writeSettings();
    this.process?.kill("SIGHUP");
  }

  close(): void {
    fs.closeSync(this.log);
  }
}
