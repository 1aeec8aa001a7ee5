/**
 * Versions of the platform's store that stay ordered when it comes back from an older copy of itself.
 *
 * After such a restore the store gives out version numbers again, so a bare number names two states. A
 * version is therefore a pair of era and number, packed into one integer with the era in the upper bits.
 * Comparing two of them compares the eras first, and numbers only within one era; a message or a row
 * holds a version as one number. Only the adapter of the store sees bare numbers.
 */

/** 87 years of transactions at 400 a second. */
const numbersPerEra = 2 ** 40;

/** Largest number of one era. */
export const maxNumber = numbersPerEra - 1;

/** Largest era; its versions are still safe integers. */
export const maxEra = 2 ** 13 - 1;

/**
 * Packs a pair. Era 0 is that of a store that names none; its versions are the numbers themselves.
 * Number 0 stands for a row that does not exist. Throws RangeError outside 0 to `maxEra` or `maxNumber`.
 */
export function toVersion(era: number, number: number): number {
  if (!(era >= 0 && era <= maxEra) || !(number >= 0 && number <= maxNumber))
    throw new RangeError(
      `version ${number} of era ${era} is out of range; check the store address`,
    );
  return era * numbersPerEra + number;
}

/** Era of a version; negative for the negative numbers that stand for no version at all. */
export function eraOf(version: number): number {
  return Math.floor(version / numbersPerEra);
}

/** Number of a version within its era, as the store names it. */
export function numberOf(version: number): number {
  return version - eraOf(version) * numbersPerEra;
}
