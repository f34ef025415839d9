/**
 * Mocha's spec reporter, with a closing line that counts.
 * @module
 */
import mocha = require("mocha");

class Reporter extends mocha.reporters.Spec {
  override epilogue(): void {
    super.epilogue();
    const { passes, failures, pending } = this.stats;
    process.stdout.write(`${passes} passed, ${failures} failed, ${pending} skipped\n`);
  }
}

export = Reporter;
