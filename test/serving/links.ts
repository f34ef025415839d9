/**
 * Opens an entry daemon's connection to an endpoint daemon without the rest of the entry daemon.
 * @module
 */
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as link from "../../src/serving/link.js";
import type * as noticeMessages from "../../src/serving/notice-messages.js";

/** Connects to `ip:port`, and records the engines reported as lost and the notices received about workers. */
export function open(address: string, greeting: ReturnType<link.Deps["messagesOnConnect"]> = []) {
  const lost: string[] = [];
  const told: noticeMessages.Notice[] = [];
  const made = new link.Link(address, {
    clock: clock.system,
    log: structuredLog.silent,
    host: "entry",
    onEngineLost: (id) => lost.push(id),
    onAdaptersChanged: () => undefined,
    onAvailable: () => undefined,
    onEntryCount: () => undefined,
    onSuspicion: () => undefined,
    onNotice: (m) => told.push(m),
    onConfigVersion: () => undefined,
    messagesOnConnect: () => greeting,
  });
  return { made, lost, told };
}
