/**
 * The commands that look at the daemons.
 * @module
 */
import type * as control from "../link/control.js";
import type * as hosts from "../store/hosts.js";
import * as command from "./command.js";

const MB = 1024 * 1024;

interface Seen {
  readonly member: hosts.Member;
  /** Undefined when it did not answer. */
  readonly status: control.Status | undefined;
}

function row({ member: m, status: s }: Seen): readonly string[] {
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
    `${Math.round(s.rssBytes / MB)} MB`,
    s.loaded.join(" "),
  ];
}

const HEAD = [
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
  summary: "show what each daemon has in force, holds and does",
  help: `Asks every listed daemon. --json adds its histograms for each caller and class.
Exit 3 when a daemon does not answer or lacks the newest revision.`,
  settings: command.SETTINGS,
  flags: { json: { type: "boolean" } },
  run: async (input) => {
    const deps = command.open(input);
    const listed = await deps.hosts.list();
    const seen: readonly Seen[] = await Promise.all(
      listed.map(async (member) => {
        const query = deps.peer(member).status.query();
        return { member, status: await query.catch(() => undefined) };
      }),
    );
    if (input.flags.json) command.out(JSON.stringify(seen, null, 2));
    else command.out(command.table([HEAD, ...seen.map(row)]));
    const newest = Math.max(...seen.map((s) => s.status?.revision ?? 0));
    const all = seen.every((s) => s.status?.revision === newest);
    return all ? command.EXIT.done : command.EXIT.notInForce;
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
    if (!caller || !model) throw new command.UsageError("CALLER and ADAPTER are wanted.");
    const deps = command.open(input);
    const entry = (await deps.hosts.list()).find((m) => m.role === "entry" && !m.leaving);
    if (!entry) throw new command.UsageError("The list of hosts has no entry daemon.");
    for (const line of await deps.peer(entry).explain.query({ caller, model })) command.out(line);
    return command.EXIT.done;
  },
};

/** The commands of this part. */
export const commands: readonly command.Command[] = [status, explain];
