/**
 * The commands that run a daemon.
 * @module
 */
import * as endpoint from "../endpoint/daemon.js";
import * as entry from "../entry/daemon.js";
import * as settings from "../host/settings.js";
import * as command from "./command.js";

const SIGNALS = `
A first SIGTERM or SIGINT stops it gracefully: no new work is taken, work in
progress ends, and nothing is cut off. A second one stops it at once.`;

/** Runs until a signal; the second signal does not wait. */
async function untilSignal(stop: () => Promise<void>): Promise<command.Exit> {
  await new Promise<void>((resolve) => {
    process.once("SIGTERM", resolve);
    process.once("SIGINT", resolve);
  });
  const again = (): void => {
    process.exit(command.EXIT.failed);
  };
  process.once("SIGTERM", again);
  process.once("SIGINT", again);
  await stop();
  return command.EXIT.done;
}

export const entryCommand: command.Command = {
  name: "entry",
  usage: "[--FLAG VALUE ...]",
  summary: "run an entry daemon, which takes callers' requests",
  help: `Runs an entry daemon on an entry host, behind the platform's balancer.${SIGNALS}`,
  settings: entry.SETTINGS,
  run: async ({ flags, env }) => {
    const running = await entry.start(settings.read(entry.SETTINGS, flags, env));
    return untilSignal(running.stop);
  },
};

export const endpointCommand: command.Command = {
  name: "endpoint",
  usage: "[--FLAG VALUE ...]",
  summary: "run an endpoint daemon, beside one engine or plain service",
  help: `Runs the endpoint daemon beside one engine or plain service.${SIGNALS}`,
  settings: endpoint.SETTINGS,
  run: async ({ flags, env }) => {
    const running = await endpoint.start(settings.read(endpoint.SETTINGS, flags, env));
    return untilSignal(running.stop);
  },
};
