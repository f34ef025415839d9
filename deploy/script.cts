/**
 * The daemons' code as one file, and V8's code cache for it. A start with the cache needs a third of the
 * processor time of one that loads and compiles each module.
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as vm from "node:vm";

/** The exports of the bundle: those of `platform/start.ts`. */
export interface BundleExports {
  readonly load: () => Promise<void>;
  readonly run: () => Promise<void>;
}

/** Flags of Node under which the bundle is compiled and has to run; must be those in `system.toml`. */
export const FLAGS: readonly string[] = ["--max-old-space-size=160"];

/** The function wrapper around the bundled code, like the one that Node puts around CommonJS modules. */
export const WRAPPER_START = "(function (require, module, exports) {";
export const WRAPPER_END = "})";

/** Paths of the bundle and its code cache. */
export const BUNDLE_FILE = path.join(__dirname, "../daemon.cjs");
export const CODE_CACHE_FILE = path.join(__dirname, "../daemon.v8");

/**
 * Compiles the bundle, using the code cache `compiled` if given. `rejected` is true if V8 didn't accept it,
 * since it was made by another version of Node or under other flags.
 */
export function compile(compiled?: Buffer): {
  readonly script: vm.Script;
  readonly rejected: boolean;
} {
  // The bundle is pure ASCII, so latin1 reads it correctly and without decoding UTF-8.
  const source = fs.readFileSync(BUNDLE_FILE, "latin1");
  const script = new vm.Script(source, {
    filename: BUNDLE_FILE,
    ...(compiled && { cachedData: compiled }),
  });
  return { script, rejected: script.cachedDataRejected ?? false };
}

/** Runs the compiled bundle and returns its exports. */
export function evaluate(script: vm.Script): BundleExports {
  const mod = { exports: {} as BundleExports };
  const wrapper = script.runInThisContext() as (
    require: NodeJS.Require,
    module: { exports: BundleExports },
    exports: BundleExports,
  ) => void;
  wrapper(require, mod, mod.exports);
  return mod.exports;
}
