/**
 * The commands that run a daemon.
 * @module
 */
import * as endpoint from "../endpoint/daemon.js";
import * as entry from "../entry/daemon.js";
import * as settings from "../host/settings.js";
import * as command from "./command.js";

const SIGNALS_HELP = `
The first SIGTERM or SIGINT stops it gracefully: it takes no new work and lets
work in progress finish. The second one stops it at once.`;

/** Waits for a signal, then stops gracefully; a second signal exits the process at once. */
async function runUntilSignal(stop: () => Promise<void>): Promise<command.ExitCode> {
  await new Promise<void>((resolve) => {
    process.once("SIGTERM", resolve);
    process.once("SIGINT", resolve);
  });
  const exitNow = (): void => {
    process.exit(command.EXIT.failed);
  };
  process.once("SIGTERM", exitNow);
  process.once("SIGINT", exitNow);
  await stop();
  return command.EXIT.done;
}

/** Runs an entry daemon. */
export const entryCommand: command.Command = {
  name: "entry",
  usage: "[--FLAG VALUE ...]",
  summary: "run an entry daemon, which takes callers' requests",
  help: `Runs an entry daemon on an entry host, behind the platform's balancer.${SIGNALS_HELP}`,
  settings: entry.SETTINGS,
  run: async ({ flags, env }) => {
    const running = await entry.start(settings.read(entry.SETTINGS, flags, env));
    process.once("exit", running.breakOff);
    return runUntilSignal(running.stop);
  },
};

/** Runs an endpoint daemon. */
export const endpointCommand: command.Command = {
  name: "endpoint",
  usage: "[--FLAG VALUE ...]",
  summary: "run an endpoint daemon, beside one engine or plain service",
  help: `Runs the endpoint daemon beside one engine or plain service.${SIGNALS_HELP}`,
  settings: endpoint.SETTINGS,
  run: async ({ flags, env }) => {
    const running = await endpoint.start(settings.read(endpoint.SETTINGS, flags, env));
    return runUntilSignal(running.stop);
  },
};
