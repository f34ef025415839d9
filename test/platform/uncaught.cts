/**
 * Preloaded into a daemon by a test: SIGUSR2 throws an error that nothing catches.
 * @module
 */
process.on("SIGUSR2", () => {
  throw new Error("thrown by a test");
});
