/**
 * Starts the processes of the demo, reads their output, and kills them at the end.
 * @module
 */
import * as child from "node:child_process";
import * as readline from "node:readline";
import * as url from "node:url";

const resolvePath = (path: string): string => url.fileURLToPath(new URL(path, import.meta.url));
const CLI = resolvePath("../cli/main.js");
const STAND_IN = resolvePath("../standin/main.js");

/** A running process of the demo. */
export interface DemoProcess {
  readonly name: string;
  /** Addresses (`ip:port`) that it printed when it began to listen. */
  readonly addresses: readonly string[];
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Resolves to its exit code when it exits; null if a signal ended it. */
  readonly ended: Promise<number | null>;
}

/** Every process that was started, for {@link killAll}. */
const children: { readonly proc: child.ChildProcess; readonly ended: Promise<number | null> }[] =
  [];

function spawn(name: string, file: string, args: readonly string[], env: NodeJS.ProcessEnv) {
  const proc = child.spawn(process.execPath, [file, ...args], {
    env: { ...process.env, ...env },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const ended = new Promise<number | null>((resolve) => {
    proc.once("exit", resolve);
  });
  children.push({ proc, ended });
  const running = (addresses: readonly string[]): DemoProcess => ({
    name,
    addresses,
    ended,
    signal: (signal) => {
      proc.kill(signal);
    },
  });
  return { proc, ended, running };
}

/** Starts a stand-in and waits until it prints its address. */
export async function startStandIn(kind: string, options: object): Promise<DemoProcess> {
  const { proc, running } = spawn(kind, STAND_IN, [kind, JSON.stringify(options)], {});
  proc.stderr.pipe(process.stderr);
  for await (const line of readline.createInterface({ input: proc.stdout })) {
    const listening = JSON.parse(line) as { address: string };
    return running([listening.address]);
  }
  throw new Error(`the stand-in ${kind} exited before it printed its address`);
}

/** Starts a daemon and waits until it logs the addresses it listens on. */
export async function startDaemon(
  role: "entry" | "endpoint",
  name: string,
  env: NodeJS.ProcessEnv,
): Promise<DemoProcess> {
  const daemonEnv = { ...env, SUMACFIELD_NAME: name, SUMACFIELD_LOG_FORMAT: "json" };
  const { proc, running } = spawn(name, CLI, [role], daemonEnv);
  const lines = readline.createInterface({ input: proc.stderr });
  const addresses = await new Promise<readonly string[]>((resolve, reject) => {
    proc.once("exit", () => {
      reject(new Error(`${name} exited before it listened`));
    });
    lines.on("line", (line) => {
      const listenAddresses = line.includes("Listening") ? line.match(/127\.0\.0\.1:\d+/g) : null;
      if (listenAddresses) resolve(listenAddresses);
      if (line.includes('"level":"error"')) process.stderr.write(`${line}\n`);
      if (!line.startsWith("{")) process.stderr.write(`${name}: ${line}\n`);
    });
  });
  return running(addresses);
}

/** Runs one command of the command line, and returns its exit code and all its output. */
export async function runCommand(
  args: readonly string[],
  env: NodeJS.ProcessEnv,
): Promise<{ readonly code: number | null; readonly text: string }> {
  const { proc, ended } = spawn(`sumacfield ${args[0] ?? ""}`, CLI, args, env);
  let text = "";
  proc.stdout.on("data", (part: Buffer) => {
    text += part.toString();
  });
  proc.stderr.on("data", (part: Buffer) => {
    text += part.toString();
  });
  const code = await ended;
  return { code, text };
}

/** Kills every process that still runs, and waits for it to exit. */
export async function killAll(): Promise<void> {
  for (const { proc } of children) if (proc.exitCode === null) proc.kill("SIGKILL");
  await Promise.all(children.map((s) => s.ended));
}
