/**
 * Processes of a measurement.
 * @module
 */
import * as child from "node:child_process";
import * as readline from "node:readline";
import * as url from "node:url";
import * as site from "../site.js";

/** A process that printed its address. */
export interface Proc {
  readonly address: string;
  readonly pid: number;
  readonly end: () => void;
}

/** Starts a file of this folder, and waits for its address. */
export async function start(file: string, args: readonly string[]): Promise<Proc> {
  const path = url.fileURLToPath(new URL(file, import.meta.url));
  const started = child.spawn(process.execPath, [path, ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  for await (const line of readline.createInterface({ input: started.stdout })) {
    return { address: line, pid: started.pid ?? 0, end: () => started.kill() };
  }
  throw new Error(`${file} ended early`);
}

/** Starts an entry daemon on a store and a list of hosts, with more settings or others. */
export function entry(
  storeUrl: string,
  hostsUrl: string,
  more: Readonly<Record<string, string>>,
): Promise<Proc> {
  const settings = {
    name: "entry-0",
    failureDomain: "a",
    linkAddress: "127.0.0.1:0",
    callersAddress: "127.0.0.1:0",
    storeUrl,
    hostsUrl,
    clusterKeys: site.KEY,
    logLevel: "error",
    ...more,
  };
  return start("./front.js", ["entry", JSON.stringify({ settings })]);
}
