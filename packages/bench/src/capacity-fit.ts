/** Straight line fitted to measured points. */
export interface LinearFit {
  readonly slope: number
  readonly intercept: number
  /** Coefficient of determination: fraction of the variance that the line explains, 0 to 1. */
  readonly r2: number
}

/**
 * Fits a straight line by least squares.
 *
 * @param points - pairs of size and measured value, with at least two different sizes
 * @returns the line; its slope is in units of the value per unit of size
 */
export function fitLine (points: ReadonlyArray<readonly [size: number, value: number]>): LinearFit {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const sumXX = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const sumXY = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const sumYY = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0)
  const slope = sumXY / sumXX
  return { slope, intercept: meanY - slope * meanX, r2: sumYY === 0 ? 1 : sumXY ** 2 / (sumXX * sumYY) }
}
