/**
 * Sends a process SIGHUP at the moment at which it compiles the daemons' code.
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
