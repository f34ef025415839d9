/**
 * The daemons' code as one file, together with the form in which V8 compiled it. A start that finds
 * the compiled form needs a third of the processor time of one that loads and compiles each module.
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as vm from "node:vm";

/** What the file exports: `platform/start.ts`. */
export interface Start {
  readonly load: () => Promise<void>;
  readonly run: () => Promise<void>;
}

/** Flags of Node under which the file is compiled and has to be run; `system.toml` names the same. */
export const FLAGS: readonly string[] = ["--max-old-space-size=160"];

/** What stands around the code in the file, as Node does it for modules of its own. */
export const OPENING = "(function (require, module, exports) {";
export const CLOSING = "})";

/** The one file, and its compiled form. */
export const FILE = path.join(__dirname, "../daemon.cjs");
export const COMPILED = path.join(__dirname, "../daemon.v8");

/** Compiles the file; `rejected` when the compiled form is of another Node or other flags. */
export function compile(compiled?: Buffer): {
  readonly script: vm.Script;
  readonly rejected: boolean;
} {
  // The bundle holds ASCII alone, which is read without a conversion.
  const source = fs.readFileSync(FILE, "latin1");
  const script = new vm.Script(source, {
    filename: FILE,
    ...(compiled && { cachedData: compiled }),
  });
  return { script, rejected: script.cachedDataRejected ?? false };
}

/** Runs the compiled file and returns what it exports. */
export function evaluate(script: vm.Script): Start {
  const made = { exports: {} as Start };
  const wrapper = script.runInThisContext() as (
    require: NodeJS.Require,
    module: { exports: Start },
    exports: Start,
  ) => void;
  wrapper(require, made, made.exports);
  return made.exports;
}
