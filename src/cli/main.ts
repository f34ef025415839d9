#!/usr/bin/env node
/**
 * The command line: runs the command named by the first argument.
 * @module
 */
import * as settings from "../host/settings.js";
import * as files from "../operator/files.js";
import * as command from "./command.js";
import * as daemons from "./daemons.js";
import * as intent from "./intent.js";
import * as inspect from "./inspect.js";

const COMMANDS: readonly command.Command[] = [
  daemons.entryCommand,
  daemons.endpointCommand,
  ...intent.commands,
  ...inspect.commands,
];

function overview(): string {
  const rows = COMMANDS.map((c) => [`  ${c.name}`, c.summary]);
  return `sumacfield: serves very many LoRA adapters on many small sites

Usage
  sumacfield COMMAND [ARGUMENTS] [--help]

Commands
${command.formatTable(rows)}

Exit codes
  0 done   1 failed   2 wrong usage or setting   3 accepted, not yet in force everywhere
  4 refused   5 not known whether it was accepted`;
}

async function main(argv: readonly string[]): Promise<command.ExitCode> {
  const [name, ...rest] = argv;
  if (name === undefined || name === "--help" || name === "help") {
    command.printLine(overview());
    return name === undefined ? command.EXIT.usage : command.EXIT.done;
  }
  const found = COMMANDS.find((c) => c.name === name);
  if (!found) throw new command.UsageError(`There is no command ${name}; see sumacfield --help.`);
  return found.run(command.parseInput(found, rest));
}

main(process.argv.slice(2)).then(
  (code) => {
    process.exit(code);
  },
  (err: unknown) => {
    process.stderr.write(`sumacfield: ${err instanceof Error ? err.message : String(err)}\n`);
    const isUsageError =
      err instanceof command.UsageError ||
      err instanceof settings.SettingError ||
      err instanceof files.FileError;
    process.exit(isUsageError ? command.EXIT.usage : command.EXIT.failed);
  },
);
