fn main() {
    std::process::exit(signalbox::main());
}
