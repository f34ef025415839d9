/**
 * Runs one stand-in as a process, for the demo: `main.js store|hosts|weights|service|engine [JSON]`.
 * It prints its URL and address as one line of JSON once it listens.
 * @module
 */
import * as engine from "./engine.js";
import * as hosts from "./hosts.js";
import type * as server from "./server.js";
import * as service from "./service.js";
import * as store from "./store.js";
import * as weights from "./weights.js";

interface StandInOptions {
  readonly loadMs?: number;
  readonly slots?: number;
  readonly seats?: number;
  readonly stepMs?: number;
  readonly baseModel?: string;
}

function start(kind: string, options: StandInOptions): Promise<server.RunningServer> {
  switch (kind) {
    case "store":
      return store.start();
    case "hosts":
      return hosts.start();
    case "weights":
      return weights.start(options.loadMs ?? 0);
    case "service":
      return service.start();
    case "engine": {
      const { slots = 1, seats = 1, stepMs = 1, baseModel = "" } = options;
      return engine.start({ slots, seats, stepMs, baseModel, fencing: true });
    }
    default:
      throw new Error(`there is no stand-in ${kind}`);
  }
}

const running = await start(
  process.argv[2] ?? "",
  JSON.parse(process.argv[3] ?? "{}") as StandInOptions,
);
process.stdout.write(`${JSON.stringify({ url: running.url, address: running.address })}\n`);
