/**
 * Makes one file of the daemons' compiled modules, and keeps the form in which V8 compiles it. It
 * has to run under the flags that the daemons run under, since V8 checks them.
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as esbuild from "esbuild";
import * as script from "./script.cjs";

await esbuild.build({
  entryPoints: [path.join(import.meta.dirname, "../platform/start.js")],
  outfile: script.FILE,
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  minifyWhitespace: true,
  minifySyntax: true,
  charset: "ascii",
  banner: { js: script.OPENING },
  footer: { js: script.CLOSING },
  logLevel: "warning",
});

const { script: made } = script.compile();
await script.evaluate(made).load();
// Made after loading, so that it holds the functions that a start runs.
fs.writeFileSync(script.COMPILED, made.createCachedData());
