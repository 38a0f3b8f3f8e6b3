#ifndef GB_TESTS_BENCH_SLOPE_H
#define GB_TESTS_BENCH_SLOPE_H

#define SLOPE_POINTS_MAX 8

/* Costs measured at several sizes, for a linear fit of cost over size. */
struct Slope {
    const char *name;
    /* Unit of the slope, such as "ns a service". */
    const char *unit;
    double sizes[SLOPE_POINTS_MAX];
    double costs[SLOPE_POINTS_MAX];
    int count;
};

void slope_init(struct Slope *self, const char *name, const char *unit);

void slope_add(struct Slope *self, double size, double cost);

void slope_print_header(const char *title);

/* Prints the points and their least-squares line: slope, value at size 0, and
 * the residual standard deviation as a percentage of the mean cost. */
void slope_print(const struct Slope *self);

#endif
