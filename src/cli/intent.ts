/**
 * The commands that change and show the declared intent.
 * @module
 */
import * as yaml from "yaml";
import * as intents from "../contract/intent.js";
import * as objects from "../contract/objects.js";
import * as change from "../operator/change.js";
import * as files from "../operator/files.js";
import * as journal from "../store/journal.js";
import * as command from "./command.js";

const FILES = { file: { type: "string", shortFlag: "f", isMultiple: true } } as const;

function paths(input: command.Input): readonly string[] {
  const given = input.flags.file;
  const found = Array.isArray(given) ? given.filter((p) => typeof p === "string") : [];
  if (found.length === 0) throw new command.UsageError("-f FILE is missing; - is standard input.");
  return found;
}

async function newest(deps: change.Deps): Promise<intents.Intent> {
  return journal.catchUp(deps.store, intents.EMPTY);
}

/** Kinds by any case, with or without a plural s. */
function kindOf(word: string | undefined): objects.Kind {
  const wanted = word?.toLowerCase() ?? "";
  const kind = objects.KINDS.find((k) => [k.toLowerCase(), `${k.toLowerCase()}s`].includes(wanted));
  if (!kind) throw new command.UsageError(`A kind is one of ${objects.KINDS.join(", ")}.`);
  return kind;
}

async function one(deps: change.Deps, input: command.Input): Promise<objects.Obj> {
  const kind = kindOf(input.args[0]);
  const name = input.args[1] ?? "";
  const found = intents.find(await newest(deps), kind, name);
  if (!found) throw new command.UsageError(`There is no ${kind} ${name}.`);
  return found;
}

function showDifference(d: change.Difference): string {
  const lines = (o: objects.Obj | undefined): readonly string[] =>
    o ? yaml.stringify(o).trimEnd().split("\n") : [];
  const now = lines(d.now);
  const wished = lines(d.wished);
  const minus = now.filter((l) => !wished.includes(l)).map((l) => `  - ${l}`);
  const plus = wished.filter((l) => !now.includes(l)).map((l) => `  + ${l}`);
  return [d.key, ...minus, ...plus].join("\n");
}

/** Says what is true after a change. */
function report(done: change.Applied): command.Exit {
  switch (done.kind) {
    case "unchanged":
      command.out(`Nothing to change; revision ${done.revision} is the newest.`);
      return command.EXIT.done;
    case "in_force":
      command.out(`Revision ${done.revision} is in force everywhere, after ${done.ms} ms.`);
      return command.EXIT.done;
    case "accepted":
      command.out(`Revision ${done.revision} is accepted, and not yet seen in force at:`);
      for (const name of done.missing) command.out(`  ${name}`);
      command.out("It will not be lost; `sumacfield status` shows who has it.");
      return command.EXIT.notInForce;
    case "refused":
      command.out("Refused: somebody else changed these meanwhile (- theirs, + yours):");
      for (const d of done.differences) command.out(showDifference(d));
      return command.EXIT.refused;
    case "store_behind":
      command.out(
        `Refused: the store is at revision ${done.store}, but daemons have ${done.daemons} in force. Run \`sumacfield restore\` first.`,
      );
      return command.EXIT.refused;
    case "unknown":
      command.out(`Not known whether it was accepted: ${done.why}`);
      command.out(`Settle it with \`sumacfield settle ${done.revision} ${done.id}\`.`);
      return command.EXIT.unknown;
  }
}

const apply: command.Command = {
  name: "apply",
  usage: "-f FILE [-f FILE ...]",
  summary: "put declared objects in force",
  help: `Puts the objects in the files (YAML or JSON; - is standard input) in force, all or none.
Ends with what is true: in force everywhere (exit 0), accepted but not yet seen
in force at the daemons named (3), refused because somebody else changed the
same objects (4), or not known, with the command that settles it (5).`,
  settings: command.SETTINGS,
  flags: FILES,
  run: async (input) => {
    const puts = await files.read(paths(input));
    return report(await change.apply({ puts, deletes: [] }, command.open(input)));
  },
};

const diff: command.Command = {
  name: "diff",
  usage: "-f FILE [-f FILE ...]",
  summary: "show what apply would change",
  help: `Shows what \`apply\` of the same files would change, and changes nothing.`,
  settings: command.SETTINGS,
  flags: FILES,
  run: async (input) => {
    const puts = await files.read(paths(input));
    const now = await newest(command.open(input));
    const found = change.differences(now, { puts, deletes: [] });
    for (const d of found) command.out(showDifference(d));
    command.out(`${found.length} of ${puts.length} objects differ from revision ${now.revision}.`);
    return command.EXIT.done;
  },
};

const get: command.Command = {
  name: "get",
  usage: "KIND [NAME] [--json]",
  summary: "list declared objects",
  help: `Lists the objects of a kind, or one of them. --json prints them whole.`,
  settings: command.SETTINGS,
  flags: { json: { type: "boolean" } },
  run: async (input) => {
    const kind = kindOf(input.args[0]);
    const now = await newest(command.open(input));
    const name = input.args[1];
    const found = intents.list(now, kind).filter((o) => !name || o.metadata.name === name);
    if (input.flags.json) {
      command.out(JSON.stringify(found, null, 2));
      return command.EXIT.done;
    }
    const rows = found.map((o) => [
      o.metadata.name,
      Object.entries(o.metadata.labels)
        .map(([k, v]) => `${k}=${v}`)
        .join(","),
    ]);
    command.out(command.table([["NAME", "LABELS"], ...rows]));
    return command.EXIT.done;
  },
};

const describe: command.Command = {
  name: "describe",
  usage: "KIND NAME",
  summary: "show one declared object whole",
  help: `Shows one object as YAML, in the form that \`apply\` takes.`,
  settings: command.SETTINGS,
  run: async (input) => {
    command.out(yaml.stringify(await one(command.open(input), input)).trimEnd());
    return command.EXIT.done;
  },
};

async function relabel(
  input: command.Input,
  kind: string | undefined,
  name: string | undefined,
  edits: readonly string[],
): Promise<command.Exit> {
  const deps = command.open(input);
  const found = await one(deps, { ...input, args: [kind ?? "", name ?? ""] });
  const labels = { ...found.metadata.labels };
  for (const edit of edits) {
    const [key = "", value] = edit.split("=", 2);
    if (value === undefined && !edit.endsWith("-")) {
      throw new command.UsageError(`${edit} is neither LABEL=VALUE nor LABEL-.`);
    }
    if (value === undefined) Reflect.deleteProperty(labels, edit.slice(0, -1));
    else labels[key] = value;
  }
  const next = { ...found, metadata: { ...found.metadata, labels } };
  const puts = [objects.schema.parse(next)];
  return report(await change.apply({ puts, deletes: [] }, deps));
}

const label: command.Command = {
  name: "label",
  usage: "KIND NAME LABEL=VALUE|LABEL- ...",
  summary: "set or remove labels of one object",
  help: `Sets LABEL=VALUE, or removes LABEL with a dash behind it. Ends like \`apply\`.`,
  settings: command.SETTINGS,
  run: (input) => {
    const [kind, name, ...edits] = input.args;
    if (edits.length === 0) throw new command.UsageError("No label is named.");
    return relabel(input, kind, name, edits);
  },
};

const drain: command.Command = {
  name: "drain",
  usage: "endpoint|host|failuredomain NAME [--undo]",
  summary: "let endpoints finish and send them no new work",
  help: `Sets the label ${intents.DRAIN_LABEL}=true on an endpoint, a host or a failure domain,
or removes it with --undo. What runs there ends; what waits goes elsewhere.`,
  settings: command.SETTINGS,
  flags: { undo: { type: "boolean" } },
  run: (input) => {
    const [kind, name] = input.args;
    const edit = input.flags.undo ? `${intents.DRAIN_LABEL}-` : `${intents.DRAIN_LABEL}=true`;
    return relabel(input, kind, name, [edit]);
  },
};

const remove: command.Command = {
  name: "delete",
  usage: "KIND NAME",
  summary: "remove one declared object",
  help: `Removes one object from the intent. Requests under way end as they began.`,
  settings: command.SETTINGS,
  run: async (input) => {
    const deps = command.open(input);
    const found = await one(deps, input);
    return report(await change.apply({ puts: [], deletes: [objects.keyOf(found)] }, deps));
  },
};

const HISTORY = 20;

const history: command.Command = {
  name: "history",
  usage: "[REVISION]",
  summary: "show who changed what and when",
  help: `Shows the last ${HISTORY} changes kept, or those after REVISION.`,
  settings: command.SETTINGS,
  run: async (input) => {
    const deps = command.open(input);
    const { head } = await journal.readHead(deps.store);
    const from = Number(input.args[0] ?? Math.max(0, head.revision - HISTORY));
    if (!Number.isInteger(from) || from < 0) {
      throw new command.UsageError(`${input.args[0] ?? ""} is no revision.`);
    }
    const changes = await journal.readAfter(deps.store, from);
    const rows = changes.map((c) => [
      String(c.revision),
      c.at,
      c.by,
      [...c.puts.map(objects.keyOf), ...c.deletes.map((k) => `-${k}`)].slice(0, 5).join(" "),
    ]);
    command.out(command.table([["REVISION", "AT", "BY", "OBJECTS"], ...rows]));
    return command.EXIT.done;
  },
};

const settle: command.Command = {
  name: "settle",
  usage: "REVISION ID",
  summary: "find out what became of a change whose reply was lost",
  help: `Tells whether the change ID became REVISION, with the words \`apply\` gave.`,
  settings: command.SETTINGS,
  run: async (input) => {
    const [revision, id] = input.args;
    if (!revision || !id) throw new command.UsageError("REVISION and ID are wanted.");
    const deps = command.open(input);
    const found = await change.settle(Number(revision), id, deps);
    if (found === "not_accepted") {
      command.out("It was not accepted, and can be applied again.");
      return command.EXIT.refused;
    }
    return report(await change.inForce(Number(revision), deps.clock.mono(), deps));
  },
};

const restore: command.Command = {
  name: "restore",
  usage: "",
  summary: "write back what the store lost, from the daemons",
  help: `After a restore of the store from a backup, writes back the changes that daemons
still have in force. The intent never goes back.`,
  settings: command.SETTINGS,
  run: async (input) => {
    const revision = await change.restore(command.open(input));
    command.out(`The store is at revision ${revision}.`);
    return command.EXIT.done;
  },
};

/** The commands of this part, as lists show them. */
export const commands: readonly command.Command[] = [
  apply,
  diff,
  get,
  describe,
  label,
  drain,
  remove,
  history,
  settle,
  restore,
];
