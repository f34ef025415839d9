/**
 * The commands that show the state of the daemons.
 * @module
 */
import type * as control from "../link/control.js";
import type * as hosts from "../store/hosts.js";
import * as command from "./command.js";

const BYTES_PER_MB = 1024 * 1024;

interface MemberStatus {
  readonly member: hosts.Member;
  /** Undefined if the daemon did not answer. */
  readonly status: control.Status | undefined;
}

function toRow({ member: m, status: s }: MemberStatus): readonly string[] {
  if (!s) return [m.name, m.role, m.failureDomain, "no answer", "-", "-", "-", "-", "-", "-"];
  return [
    m.name,
    m.role,
    m.failureDomain,
    m.leaving ? `${s.state}, leaving` : s.state,
    String(s.revision),
    String(s.running),
    String(s.waiting),
    `${s.storeCalls}${s.watching ? "+watch" : ""}`,
    `${Math.round(s.rssBytes / BYTES_PER_MB)} MB`,
    s.loaded.join(" "),
  ];
}

const HEADER = [
  "NAME",
  "ROLE",
  "FAILURE DOMAIN",
  "STATE",
  "REVISION",
  "RUNNING",
  "WAITING",
  "STORE CALLS",
  "MEMORY",
  "LOADED",
];

const status: command.Command = {
  name: "status",
  usage: "[--json]",
  summary: "show each daemon's revision, work and loaded adapters",
  help: `Asks every listed daemon. --json adds its histograms for each caller and class.
Exit 3 when a daemon does not answer or lacks the newest revision.`,
  settings: command.SETTINGS,
  flags: { json: { type: "boolean" } },
  run: async (input) => {
    const deps = command.openDeployment(input);
    const listed = await deps.hosts.list();
    const statuses: readonly MemberStatus[] = await Promise.all(
      listed.map(async (member) => {
        const query = deps.peer(member).status.query();
        return { member, status: await query.catch(() => undefined) };
      }),
    );
    if (input.flags.json) command.printLine(JSON.stringify(statuses, null, 2));
    else command.printLine(command.formatTable([HEADER, ...statuses.map(toRow)]));
    const newest = Math.max(...statuses.map((s) => s.status?.revision ?? 0));
    const allCurrent = statuses.every((s) => s.status?.revision === newest);
    return allCurrent ? command.EXIT.done : command.EXIT.notInForce;
  },
};

const explain: command.Command = {
  name: "explain",
  usage: "CALLER ADAPTER[@VERSION]",
  summary: "show where a request would go, and why",
  help: `Asks one entry daemon which endpoints are allowed, which are left out and by which
selector, and which one would be chosen now.`,
  settings: command.SETTINGS,
  run: async (input) => {
    const [caller, model] = input.args;
    if (!caller || !model) throw new command.UsageError("CALLER and ADAPTER are required.");
    const deps = command.openDeployment(input);
    const entry = (await deps.hosts.list()).find((m) => m.role === "entry" && !m.leaving);
    if (!entry) throw new command.UsageError("The list of hosts has no entry daemon.");
    for (const line of await deps.peer(entry).explain.query({ caller, model }))
      command.printLine(line);
    return command.EXIT.done;
  },
};

/** The commands, in the order in which the overview lists them. */
export const commands: readonly command.Command[] = [status, explain];
