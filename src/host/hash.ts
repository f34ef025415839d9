/**
 * Fast hashing for placing and ranking; keys and signatures use SHA-256 instead.
 * @module
 */
import * as murmurhash from "murmurhash";

/** MurmurHash3 of a text, from 0 up to 2^32. */
export function of32(text: string): number {
  return murmurhash.default.v3(text);
}

/** Mixes a number into a hash; both from 0 up to 2^32. MurmurHash3's last step, so a few operations. */
export function mix32(hash: number, n: number): number {
  let h = hash ^ Math.imul(n, 0x9e3779b1);
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
