/** A straight line through measured points. */
export interface LinearFit {
  readonly slope: number
  readonly intercept: number
  /** Share of the variance that the line explains, 0 to 1. */
  readonly r2: number
}

/**
 * Fits a line by least squares.
 *
 * @param points - pairs of size and measured value, at least two different sizes
 * @returns slope in value per unit of size, intercept and the explained share of the variance
 */
export function fitLine (points: ReadonlyArray<readonly [size: number, value: number]>): LinearFit {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const sxx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const sxy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const syy = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0)
  const slope = sxy / sxx
  return { slope, intercept: meanY - slope * meanX, r2: syy === 0 ? 1 : sxy ** 2 / (sxx * syy) }
}
