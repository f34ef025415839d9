/**
 * Runs a daemon from the bundle that `deploy/bundle.ts` made: `node launch.cjs ROLE`.
 * @module
 */
import * as fs from "node:fs";
import * as script from "./script.cjs";

// SIGHUP would end the process until the daemon handles it. It can be ignored here, since the settings are
// read later in the start anyway.
process.on("SIGHUP", () => undefined);

const { script: compiled, rejected } = script.compile(fs.readFileSync(script.CODE_CACHE_FILE));
if (rejected) {
  process.stderr.write(
    "sumacfield: the code cache was made by another Node version or under other flags\n",
  );
}
void script.evaluate(compiled).run();
