/** Units of shares. */

/** Thousandths in one. */
export const PER_MILLE = 1_000;
