package io.carawaylift.testing.measure;

import java.util.List;
import java.util.Locale;

/**
 * Least-squares fit of a line to measured points.
 *
 * @param slope growth per unit of size
 * @param intercept value at size 0
 * @param rSquared coefficient of determination, 1 if all values or all sizes are equal
 */
record LinearFit(double slope, double intercept, double rSquared) {
    /** One measured value. */
    record Point(double size, double value) {}

    static LinearFit of(List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
        double sizes = 0;
        double values = 0;
        double products = 0;
        for (Point point : points) {
            double size = point.size() - meanSize;
            double value = point.value() - meanValue;
            sizes += size * size;
            values += value * value;
            products += size * value;
        }
        double slope = sizes == 0 ? 0 : products / sizes;
        double rSquared = values == 0 || sizes == 0 ? 1 : products * products / (sizes * values);
        return new LinearFit(slope, meanValue - slope * meanSize, rSquared);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.3f / %.1f / %.3f", slope, intercept, rSquared);
    }
}
