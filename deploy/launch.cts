/**
 * Runs a daemon from the one file that `deploy/bundle.ts` made: `node launch.cjs ROLE`.
 * @module
 */
import * as fs from "node:fs";
import * as script from "./script.cjs";

// Until the daemon listens for it, the signal would end the process; the settings are read anyway.
process.on("SIGHUP", () => undefined);

const { script: compiled, rejected } = script.compile(fs.readFileSync(script.COMPILED));
if (rejected) {
  process.stderr.write("sumacfield: the compiled form is of another Node or other flags\n");
}
void script.evaluate(compiled).run();
