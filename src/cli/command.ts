/**
 * Defines a command of the command line, and the settings, exit codes and output that commands share.
 * @module
 */
import * as os from "node:os";
import * as meow from "meow";
import * as clock from "../host/clock.js";
import * as settings from "../host/settings.js";
import * as controls from "../link/control.js";
import * as keys from "../link/keys.js";
import type * as change from "../operator/change.js";
import * as etcd from "../store/etcd.js";
import * as hosts from "../store/hosts.js";

/** Exit codes, the same for every command; docs/operators/commands.md documents them. */
export const EXIT = {
  done: 0,
  failed: 1,
  usage: 2,
  notInForce: 3,
  refused: 4,
  unknown: 5,
} as const;
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** A command of the command line. */
export interface Command {
  readonly name: string;
  /** Arguments after the name, e.g. `-f FILE`. */
  readonly usage: string;
  readonly summary: string;
  /** Paragraphs and examples that `--help` prints. */
  readonly help: string;
  readonly settings: Readonly<Record<string, settings.Setting<unknown>>>;
  /** Flags other than settings. */
  readonly flags?: Readonly<Record<string, Flag>>;
  readonly run: (input: Input) => Promise<ExitCode>;
}

/** A flag of a command, as meow takes it. */
export interface Flag {
  readonly type: "string" | "boolean";
  readonly shortFlag?: string;
  readonly isMultiple?: boolean;
}

/** The arguments and flags given after the command's name, and the environment. */
export interface Input {
  readonly args: readonly string[];
  readonly flags: Readonly<Record<string, unknown>>;
  readonly env: Readonly<Record<string, string | undefined>>;
}

/** The arguments are wrong; the message says what was expected. */
export class UsageError extends Error {
  override readonly name = "UsageError";
}

/** Settings of the commands that connect to a deployment. */
export const SETTINGS = {
  storeUrl: settings.url("storeUrl", { help: "The configuration store's etcd v3 JSON gateway." }),
  hostsUrl: settings.url("hostsUrl", { help: "The platform's list of hosts." }),
  clusterKeys: settings.secrets("clusterKeys", keys.MIN_KEY_BYTES, {
    help: "Keys that daemons authenticate each other with; the first one signs.",
  }),
  storeTimeoutMs: settings.int("storeTimeoutMs", 1, {
    help: "Timeout of one call to the store, in ms.",
    default: "2000",
  }),
  controlTimeoutMs: settings.int("controlTimeoutMs", 1, {
    help: "Timeout of one call to a daemon, in ms.",
    default: "1000",
  }),
  waitMs: settings.int("waitMs", 0, {
    help: "Time to wait for a change to be in force everywhere, in ms.",
    default: "3000",
  }),
} as const;

/** Milliseconds between two polls of the daemons while a command waits for a change to be in force. */
const POLL_INTERVAL_MS = 50;

/** Connects to the deployment that the settings name. */
export function openDeployment(input: Input): change.Deps {
  const cfg = settings.read(SETTINGS, input.flags, input.env);
  const traffic: controls.Traffic = { bytes: 0 };
  const clk = clock.system;
  return {
    clock: clk,
    // A command makes only a few calls; the budget of store calls is meant for daemons.
    store: etcd.open({ url: cfg.storeUrl, timeoutMs: cfg.storeTimeoutMs, spend: () => undefined }),
    hosts: hosts.endpointSlices(cfg.hostsUrl, cfg.controlTimeoutMs),
    peer: (m) =>
      controls.connect(m.address, m.name, cfg.clusterKeys, clk, cfg.controlTimeoutMs, traffic),
    by: `${os.userInfo().username}@${os.hostname()}`,
    waitMs: cfg.waitMs,
    lookMs: POLL_INTERVAL_MS,
  };
}

/** Parses the arguments that follow the name of command `c`. Exits the process for `--help`. */
export function parseInput(c: Command, argv: readonly string[]): Input {
  const flags: Record<string, Flag> = { ...c.flags };
  for (const s of Object.values(c.settings)) flags[s.name] = { type: "string" };
  const cli = meow.default(helpOf(c), {
    importMeta: import.meta,
    argv: [...argv],
    flags: flags,
    allowUnknownFlags: false,
    description: false,
  });
  return { args: cli.input, flags: cli.flags, env: process.env };
}

function helpOf(c: Command): string {
  return `
  Usage
    sumacfield ${c.name} ${c.usage}

  ${c.help.trim().split("\n").join("\n  ")}

  Settings, by flag or environment variable
${settings.helpText(c.settings)}
`;
}

/** Prints a line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Formats rows as aligned columns; the first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, i) => Math.max(...rows.map((r) => r[i]?.length ?? 0)));
  return rows
    .map((r) =>
      r
        .map((cell, i) => cell.padEnd(widths[i] ?? 0))
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
}
