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

const FILE_FLAG = { file: { type: "string", shortFlag: "f", isMultiple: true } } as const;

function filePaths(input: command.Input): readonly string[] {
  const given = input.flags.file;
  const found = Array.isArray(given) ? given.filter((p) => typeof p === "string") : [];
  if (found.length === 0) throw new command.UsageError("-f FILE is missing; - is standard input.");
  return found;
}

async function latestIntent(deps: change.Deps): Promise<intents.Intent> {
  return journal.catchUp(deps.store, intents.EMPTY);
}

/** Parses the name of a kind, in any case, singular or plural. */
function parseKind(word: string | undefined): objects.Kind {
  const wanted = word?.toLowerCase() ?? "";
  const kind = objects.KINDS.find((k) => [k.toLowerCase(), `${k.toLowerCase()}s`].includes(wanted));
  if (!kind) throw new command.UsageError(`A kind is one of ${objects.KINDS.join(", ")}.`);
  return kind;
}

async function findObject(deps: change.Deps, input: command.Input): Promise<objects.Obj> {
  const kind = parseKind(input.args[0]);
  const name = input.args[1] ?? "";
  const found = intents.find(await latestIntent(deps), kind, name);
  if (!found) throw new command.UsageError(`There is no ${kind} ${name}.`);
  return found;
}

function formatDifference(d: change.Difference): string {
  const lines = (o: objects.Obj | undefined): readonly string[] =>
    o ? yaml.stringify(o).trimEnd().split("\n") : [];
  const now = lines(d.now);
  const wished = lines(d.wished);
  const removed = now.filter((l) => !wished.includes(l)).map((l) => `  - ${l}`);
  const added = wished.filter((l) => !now.includes(l)).map((l) => `  + ${l}`);
  return [d.key, ...removed, ...added].join("\n");
}

/** Prints the outcome of a change and returns its exit code. */
function report(result: change.Applied): command.ExitCode {
  switch (result.kind) {
    case "unchanged":
      command.printLine(`Nothing to change; revision ${result.revision} is the newest.`);
      return command.EXIT.done;
    case "in_force":
      command.printLine(
        `Revision ${result.revision} is in force everywhere, after ${result.ms} ms.`,
      );
      return command.EXIT.done;
    case "accepted":
      command.printLine(`Revision ${result.revision} is accepted, and not yet seen in force at:`);
      for (const name of result.missing) command.printLine(`  ${name}`);
      command.printLine("It will not be lost; `sumacfield status` shows who has it.");
      return command.EXIT.notInForce;
    case "refused":
      command.printLine("Refused: somebody else changed these meanwhile (- theirs, + yours):");
      for (const d of result.differences) command.printLine(formatDifference(d));
      return command.EXIT.refused;
    case "store_behind":
      command.printLine(
        `Refused: the store is at revision ${result.store}, but daemons have ${result.daemons} in force. Run \`sumacfield restore\` first.`,
      );
      return command.EXIT.refused;
    case "unknown":
      command.printLine(`Not known whether it was accepted: ${result.why}`);
      command.printLine(`Settle it with \`sumacfield settle ${result.revision} ${result.id}\`.`);
      return command.EXIT.unknown;
  }
}

const apply: command.Command = {
  name: "apply",
  usage: "-f FILE [-f FILE ...]",
  summary: "put declared objects in force",
  help: `Puts the objects in the files (YAML or JSON; - is standard input) in force, all or none.
Prints the outcome: in force everywhere (exit 0), accepted but not yet seen in
force at the daemons named (3), refused because somebody else changed the same
objects (4), or not known, with the command that settles it (5).`,
  settings: command.SETTINGS,
  flags: FILE_FLAG,
  run: async (input) => {
    const puts = await files.read(filePaths(input));
    return report(await change.apply({ puts, deletes: [] }, command.openDeployment(input)));
  },
};

const diff: command.Command = {
  name: "diff",
  usage: "-f FILE [-f FILE ...]",
  summary: "show what apply would change",
  help: `Shows what \`apply\` of the same files would change, and changes nothing.`,
  settings: command.SETTINGS,
  flags: FILE_FLAG,
  run: async (input) => {
    const puts = await files.read(filePaths(input));
    const now = await latestIntent(command.openDeployment(input));
    const found = change.differences(now, { puts, deletes: [] });
    for (const d of found) command.printLine(formatDifference(d));
    command.printLine(
      `${found.length} of ${puts.length} objects differ from revision ${now.revision}.`,
    );
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
    const kind = parseKind(input.args[0]);
    const now = await latestIntent(command.openDeployment(input));
    const name = input.args[1];
    const found = intents.list(now, kind).filter((o) => !name || o.metadata.name === name);
    if (input.flags.json) {
      command.printLine(JSON.stringify(found, null, 2));
      return command.EXIT.done;
    }
    const rows = found.map((o) => [
      o.metadata.name,
      Object.entries(o.metadata.labels)
        .map(([k, v]) => `${k}=${v}`)
        .join(","),
    ]);
    command.printLine(command.formatTable([["NAME", "LABELS"], ...rows]));
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
    command.printLine(
      yaml.stringify(await findObject(command.openDeployment(input), input)).trimEnd(),
    );
    return command.EXIT.done;
  },
};

async function relabel(
  input: command.Input,
  kind: string | undefined,
  name: string | undefined,
  edits: readonly string[],
): Promise<command.ExitCode> {
  const deps = command.openDeployment(input);
  const found = await findObject(deps, { ...input, args: [kind ?? "", name ?? ""] });
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
  help: `Sets LABEL=VALUE, or removes a label given as LABEL-. Exits like \`apply\`.`,
  settings: command.SETTINGS,
  run: (input) => {
    const [kind, name, ...edits] = input.args;
    if (edits.length === 0)
      throw new command.UsageError("At least one LABEL=VALUE or LABEL- is required.");
    return relabel(input, kind, name, edits);
  },
};

const drain: command.Command = {
  name: "drain",
  usage: "endpoint|host|failuredomain NAME [--undo]",
  summary: "let endpoints finish and send them no new work",
  help: `Sets the label ${intents.DRAIN_LABEL}=true on an endpoint, a host or a failure domain,
or removes it with --undo. Running requests finish there; waiting ones go elsewhere.`,
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
  help: `Removes one object from the intent. Requests in flight finish as they started.`,
  settings: command.SETTINGS,
  run: async (input) => {
    const deps = command.openDeployment(input);
    const found = await findObject(deps, input);
    return report(await change.apply({ puts: [], deletes: [objects.keyOf(found)] }, deps));
  },
};

/** Changes that `history` shows when no revision is given. */
const HISTORY_LENGTH = 20;

const history: command.Command = {
  name: "history",
  usage: "[REVISION]",
  summary: "show who changed what and when",
  help: `Shows the last ${HISTORY_LENGTH} changes kept, or those after REVISION.`,
  settings: command.SETTINGS,
  run: async (input) => {
    const deps = command.openDeployment(input);
    const { head } = await journal.readHead(deps.store);
    const from = Number(input.args[0] ?? Math.max(0, head.revision - HISTORY_LENGTH));
    if (!Number.isInteger(from) || from < 0) {
      throw new command.UsageError(`${input.args[0] ?? ""} is not a revision.`);
    }
    const changes = await journal.readAfter(deps.store, from);
    const rows = changes.map((c) => [
      String(c.revision),
      c.at,
      c.by,
      [...c.puts.map(objects.keyOf), ...c.deletes.map((k) => `-${k}`)].slice(0, 5).join(" "),
    ]);
    command.printLine(command.formatTable([["REVISION", "AT", "BY", "OBJECTS"], ...rows]));
    return command.EXIT.done;
  },
};

const settle: command.Command = {
  name: "settle",
  usage: "REVISION ID",
  summary: "find out what became of a change whose reply was lost",
  help: `Tells whether the change ID was accepted as REVISION; \`apply\` prints both.`,
  settings: command.SETTINGS,
  run: async (input) => {
    const [revision, id] = input.args;
    if (!revision || !id) throw new command.UsageError("REVISION and ID are required.");
    const deps = command.openDeployment(input);
    const found = await change.settle(Number(revision), id, deps);
    if (found === "not_accepted") {
      command.printLine("It was not accepted, and can be applied again.");
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
    const revision = await change.restore(command.openDeployment(input));
    command.printLine(`The store is at revision ${revision}.`);
    return command.EXIT.done;
  },
};

/** The commands, in the order in which the overview lists them. */
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
