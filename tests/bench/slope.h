#ifndef GB_TESTS_BENCH_SLOPE_H
#define GB_TESTS_BENCH_SLOPE_H

#define SLOPE_POINTS_MAX 8

/* Cost against size, measured at several sizes. */
struct Slope {
    const char *name;
    /* Of the slope, such as "ns a service". */
    const char *unit;
    double sizes[SLOPE_POINTS_MAX];
    double costs[SLOPE_POINTS_MAX];
    int count;
};

void slope_init(struct Slope *self, const char *name, const char *unit);

void slope_add(struct Slope *self, double size, double cost);

void slope_print_head(const char *title);

/* Prints the points and the least-squares line through them: slope, value at
 * size 0, and the residual standard deviation as a part of the mean cost. */
void slope_print(const struct Slope *self);

#endif
