/**
 * Preloaded into a daemon by a test: sends the process SIGHUP just when it compiles the daemons' code.
 * @module
 */
import vm = require("node:vm");

class Script extends vm.Script {
  constructor(...args: ConstructorParameters<typeof vm.Script>) {
    process.kill(process.pid, "SIGHUP");
    super(...args);
  }
}

Object.assign(vm, { Script });
