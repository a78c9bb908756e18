//! Line plots as SVG.

use plotters::element::DashedPathElement;
use plotters::prelude::*;

use crate::error::{Error, Result, Step};

const SIZE: (u32, u32) = (720, 320);
const LABEL_AREA: u32 = 60;
const FONT: (&str, u32) = ("sans-serif", 13);
/// Dash and gap lengths in pixels, one pair per line in turn; a gap of 0 draws a solid line.
const DASHES: [(u32, u32); 4] = [(8, 0), (10, 5), (2, 4), (16, 8)];
/// Colours, one per line in turn. Their lightness differs, so that they can be told apart in
/// greyscale.
const COLOURS: [RGBColor; 4] = [
    RGBColor(0, 60, 120),
    RGBColor(190, 80, 0),
    RGBColor(0, 130, 90),
    RGBColor(120, 120, 120),
];

/// A line with a legend entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Series {
    /// Text of the legend entry.
    pub name: String,
    /// Points in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// A plot of several lines with shared axes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinePlot {
    /// Caption above the plot.
    pub title: String,
    /// Name and unit of the x axis.
    pub x: String,
    /// Name and unit of the y axis.
    pub y: String,
    /// Lines to draw. Colours and dashes repeat after the fourth line.
    pub series: Vec<Series>,
}

impl LinePlot {
    /// Renders the plot as an SVG element, for embedding in HTML.
    pub fn to_svg(&self) -> Result<String> {
        let mut svg = String::new();
        self.draw(&mut svg)
            .map_err(|e| Error::new(Step::Http, format!("drawing {}: {e}", self.title)))?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let (xs, ys) = self.ranges();
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, FONT)
            .margin(8)
            .x_label_area_size(LABEL_AREA / 2)
            .y_label_area_size(LABEL_AREA)
            .build_cartesian_2d(xs, ys)?;
        chart
            .configure_mesh()
            .x_desc(&self.x)
            .y_desc(&self.y)
            .light_line_style(WHITE)
            .draw()?;
        for (n, series) in self.series.iter().enumerate() {
            let (colour, (dash, gap)) = (COLOURS[n % COLOURS.len()], DASHES[n % DASHES.len()]);
            let style = colour.stroke_width(2);
            let points = series.points.iter().copied();
            chart
                .draw_series(DashedLineSeries::new(points, dash, gap, style))?
                .label(&series.name)
                .legend(move |(x, y)| {
                    DashedPathElement::new([(x, y), (x + 36, y)], dash, gap, style)
                });
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .legend_area_size(42)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }

    /// Returns the x and y ranges that contain all points; the y range also contains zero.
    fn ranges(&self) -> (std::ops::Range<f64>, std::ops::Range<f64>) {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let low_x = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
        let high_x = points().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
        let low_y = points().map(|p| p.1).fold(0.0, f64::min);
        let high_y = points().map(|p| p.1).fold(0.0, f64::max);
        let xs = if low_x < high_x {
            low_x..high_x
        } else {
            0.0..1.0
        };
        let ys = if low_y < high_y {
            low_y..high_y * 1.05
        } else {
            0.0..1.0
        };
        (xs, ys)
    }
}
