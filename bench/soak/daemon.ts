/**
 * One daemon as a process of its own: its settings file, its log, and the signals it gets.
 * @module
 */
import * as child from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as yaml from "yaml";
import * as script from "../../deploy/script.cjs";
import * as teams from "./teams.js";

/** What all entry daemons together may retry of the requests for a service: a part of them, and some besides. */
export const RETRIES = { ratio: 0.2, slack: 58, windowS: 10 };

/** Milliseconds from SIGTERM to SIGKILL, and of the other bounds that the daemons are told. */
export const GRACE_MS = 5000;
export const DRAIN_MS = 2000;
const BOUNDS = {
  graceS: GRACE_MS / 1000,
  drainTimeoutMs: DRAIN_MS,
  retryBudgetRatio: RETRIES.ratio,
  budgetWindowS: RETRIES.windowS,
  budgetSlack: RETRIES.slack,
  contactMs: 3000,
  ...teams.BOUNDS,
};

/** Where a daemon runs and whom it meets. */
export interface Plan {
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly ip: string;
  readonly seatPort: number;
  readonly store: string;
  /** Callers' and readiness port of an entry daemon. */
  readonly ports?: readonly [number, number];
  /** Address of the engine beside an endpoint daemon. */
  readonly engine?: string;
  readonly service?: string;
}

export class Daemon {
  private process: child.ChildProcess | undefined;
  private readonly file: string;
  private readonly log: number;
  /** It was told to end. */
  private expected = false;
  /** It was frozen while it was to end. */
  private frozen = false;

  constructor(
    readonly plan: Plan,
    private readonly main: string,
    folder: string,
    /** It ended by itself, or not as it should. */
    private readonly fault: (what: string) => void,
  ) {
    this.file = path.join(folder, `${plan.name}.yaml`);
    this.log = fs.openSync(path.join(folder, `${plan.name}.log`), "a");
    this.write();
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
  private write(): void {
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

  /** Starts it, unless another trouble's end did so before. */
  start(): void {
    if (this.process) return;
    this.expected = false;
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
      if (!this.expected) this.fault(`${this.plan.name} ended by itself: ${code ?? signal}`);
    });
  }

  private async gone(): Promise<number | null> {
    const at = this.process;
    if (!at) return null;
    return new Promise((resolve) => at.once("exit", resolve));
  }

  /** Kills it at once. */
  async kill(): Promise<void> {
    this.expected = true;
    const gone = this.gone();
    this.process?.kill("SIGKILL");
    await gone;
  }

  /** Asks it to stop; it has its grace to do so. */
  async stop(): Promise<void> {
    this.expected = true;
    const gone = this.gone();
    this.process?.kill("SIGTERM");
    const wasFrozen = this.frozen;
    const late = setTimeout(() => {
      if (!wasFrozen) this.fault(`${this.plan.name} did not end within its grace`);
      this.process?.kill("SIGKILL");
    }, GRACE_MS);
    const code = await gone;
    clearTimeout(late);
    if (code !== 0 && code !== null) this.fault(`${this.plan.name} ended with status ${code}`);
  }

  /** Stops it where it is, and lets it go on. */
  freeze(): void {
    this.frozen = true;
    this.process?.kill("SIGSTOP");
  }

  thaw(): void {
    this.frozen = false;
    this.process?.kill("SIGCONT");
  }

  /** Tells it that its settings changed. */
  reload(): void {
    this.write();
    this.process?.kill("SIGHUP");
  }

  close(): void {
    fs.closeSync(this.log);
  }
}
