/**
 * Makes one file of the daemons' compiled modules, and keeps the form in which V8 compiles it. It
 * has to run under the flags that the daemons run under, since V8 checks them.
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as esbuild from "esbuild";
import * as script from "./script.cjs";

/**
 * The parts of libraries that the daemons use, in place of the whole of them: the HTTP client without
 * HTTP/2, browsers' interfaces, caches and mocks, and the metrics without pushing them. With the log
 * library's terminal left out, loading takes 132 ms of processor time in place of 260 (minima of 15 in pairs).
 */
const PARTS: Readonly<Record<string, string>> = {
  undici: `
    const Dispatcher = require("undici/lib/dispatcher/dispatcher");
    Object.assign(Dispatcher.prototype, { request: require("undici/lib/api/api-request") });
    exports.Pool = require("undici/lib/dispatcher/pool");
    exports.buildConnector = require("undici/lib/core/connect");`,
  "prom-client": `
    exports.Registry = require("prom-client/lib/registry");
    exports.Counter = require("prom-client/lib/counter");
    exports.Gauge = require("prom-client/lib/gauge");
    exports.Histogram = require("prom-client/lib/histogram");`,
  "./client-h2.js": `
    module.exports = () => { throw new Error("HTTP/2 is not in this bundle"); };`,
};

const onlyParts: esbuild.Plugin = {
  name: "only-parts",
  setup: (build) => {
    build.onResolve({ filter: /^(undici|prom-client|\.\/client-h2\.js)$/ }, ({ path: name }) => {
      return { path: name, namespace: "parts" };
    });
    build.onLoad({ filter: /.*/, namespace: "parts" }, ({ path: name }) => {
      return { contents: PARTS[name] ?? "", resolveDir: import.meta.dirname };
    });
  },
};

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
  plugins: [onlyParts],
});

const { script: made } = script.compile();
await script.evaluate(made).load();
// Made after loading, so that it holds the functions that a start runs.
fs.writeFileSync(script.COMPILED, made.createCachedData());
