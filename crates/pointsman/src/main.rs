fn main() {
    std::process::exit(pointsman::main());
}
