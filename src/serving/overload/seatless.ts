/**
 * How many requests one host sends to an engine whose endpoint daemon is away, so that nobody grants seats on it. Pure.
 * @module
 */

/** Hosts that are assumed where their number is not known. */
const ASSUMED_HOSTS = 3;

/**
 * Requests in flight to an engine without seats, at most, from one of `hosts` entry hosts. Seats bound what all hosts together
 * send; without them each host keeps to its part of the engine's connections, beyond which the engine resets them.
 */
export function maxInFlight(connections: number, hosts = ASSUMED_HOSTS): number {
  return Math.max(1, Math.floor(connections / Math.max(ASSUMED_HOSTS, hosts)));
}
